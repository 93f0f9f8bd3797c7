/** \file
 * Limits retries that may repeat work to a share of the successful calls, so that retries cannot amplify an overload.
 */
#pragma once

#include <map>
#include <string>

namespace Cyclamenturn
{

/** Holds one retry budget for each class. */
class RetryBudget
{
public:
    /** The initial and the maximum number of available retries of a class. */
    static constexpr double CAPACITY = 20;

    /** Sets the number of retries that each successful call adds to the budget of its class. */
    void setShare(double share);
    void noteServed(const std::string &className);
    /** Takes one retry from the budget of the class; returns false if less than one is left. */
    bool tryTake(const std::string &className);

private:
    double &balance(const std::string &className);

    double m_share = 0;
    /** The available retries by class, each between 0 and CAPACITY. */
    std::map<std::string, double> m_balances;
};

}
