/** \file
 * The exception types of this project. Each message says what is wrong and, where possible, how to correct it.
 */
#pragma once

#include <stdexcept>
#include <string>

namespace Cyclamenturn
{

/** An error in settings, a document or a command line. `what()` names the location and the allowed values. */
class UserError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A violated invariant of this software. `what()` names the invariant; please report it. */
class InternalError : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/** The peer refused the connection, so it cannot have processed any part of the request. */
class ConnectionRefusedError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** The exchange failed or timed out after bytes may have been sent, so the peer may have processed the request. */
class ExchangeBrokenError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** The platform's store did not respond, or responded that it is unavailable. */
class StoreUnavailableError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}
