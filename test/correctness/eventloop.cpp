/** \file
 * Order of the work in an iteration of the event loop, and the age of what it handles.
 */
#include "transport/eventloop.h"
#include "clock.h"

#include <Poco/Net/DatagramSocket.h>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>

using namespace Cyclamenturn;

namespace
{

/** A socket that is ready from the start, since it has sent itself a datagram. */
class ReadySocket : public SocketHandler
{
public:
    ReadySocket(EventLoop &loop, WorkKind kind, std::function<void()> work)
        : m_loop(loop)
        , m_kind(kind)
        , m_work(std::move(work))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0), false)
    {
        m_socket.connect(m_socket.address());
        m_socket.setBlocking(false);
        m_loop.watch(m_socket, Poco::Net::PollSet::POLL_READ, this);
        makeReady();
    }
    ~ReadySocket() override
    {
        m_loop.unwatch(m_socket);
    }
    void makeReady()
    {
        m_socket.sendBytes("", 1);
    }
    const Poco::Net::Socket &socket() const
    {
        return m_socket;
    }
    WorkKind workKind() const override
    {
        return m_kind;
    }
    void socketReady(int) override
    {
        char byte = 0;
        m_socket.receiveBytes(&byte, 1);
        m_work();
    }

private:
    EventLoop &m_loop;
    WorkKind m_kind;
    std::function<void()> m_work;
    Poco::Net::DatagramSocket m_socket;
};

void spend(Duration time)
{
    std::this_thread::sleep_for(time);
}

}

TEST_CASE("closes of clients are handled first, then responses, then timers, and new requests last")
{
    EventLoop loop;
    std::string order;
    const auto append = [&order](char letter) {
        return [&order, letter] {
            order += letter;
        };
    };
    // Many sockets of each kind, as a loop without an order handles them by their addresses.
    std::vector<std::unique_ptr<ReadySocket>> sockets;
    for (int i = 0; i < 8; ++i) {
        sockets.push_back(std::make_unique<ReadySocket>(loop, WorkKind::NewRequest, append('n')));
        sockets.push_back(std::make_unique<ReadySocket>(loop, WorkKind::Response, append('r')));
        sockets.push_back(std::make_unique<ReadySocket>(loop, WorkKind::ClientClose, append('c')));
    }
    loop.callAfter(Duration(0), append('t'));
    // On a busy machine, the time for new requests may end before all of them are handled.
    for (int i = 0; i < 50 && order.size() < sockets.size() + 1; ++i) {
        loop.runOnce(milliseconds(100));
    }
    REQUIRE(order
        == "cccccccc"
           "rrrrrrrr"
           "t"
           "nnnnnnnn");
}

TEST_CASE("new requests beyond the time for them wait, and closes that come meanwhile are handled before them")
{
    // Longer than the time for new requests ever is, so that each iteration handles one.
    constexpr Duration WORK = milliseconds(250);
    EventLoop loop;
    std::string order;
    std::vector<Duration> ages;
    ReadySocket closing(loop, WorkKind::ClientClose, [&order] { order += 'c'; });
    std::vector<std::unique_ptr<ReadySocket>> requests;
    for (int i = 0; i < 4; ++i) {
        requests.push_back(std::make_unique<ReadySocket>(loop, WorkKind::NewRequest, [&] {
            order += 'n';
            ages.push_back(loop.lag());
            spend(WORK);
        }));
    }
    for (int i = 0; i < 4; ++i) {
        loop.runOnce(milliseconds(100));
        closing.makeReady();
    }
    REQUIRE(order == "cncncncn");
    // Each of the later ones has waited for the work of each one before it.
    for (std::size_t i = 0; i < ages.size(); ++i) {
        REQUIRE(ages[i] >= WORK * static_cast<int>(i));
    }
}

TEST_CASE("an event that occurs while a handler is busy is as old as that handler's work")
{
    EventLoop loop;
    Duration age{};
    ReadySocket late(loop, WorkKind::Response, [&] { age = loop.lag(); });
    const TimePoint start = monotonicTime();
    loop.runOnce(milliseconds(100));
    REQUIRE(age <= monotonicTime() - start);
    ReadySocket busy(loop, WorkKind::Response, [&] {
        late.makeReady();
        spend(milliseconds(40));
    });
    loop.runOnce(milliseconds(100));
    loop.runOnce(milliseconds(100));
    REQUIRE(age >= milliseconds(40));
}

TEST_CASE("the time of the loop proceeds with each handler")
{
    EventLoop loop;
    TimePoint seen;
    ReadySocket busy(loop, WorkKind::ClientClose, [] { spend(milliseconds(30)); });
    ReadySocket next(loop, WorkKind::Response, [&] { seen = loop.now(); });
    const TimePoint start = monotonicTime();
    loop.runOnce(milliseconds(100));
    REQUIRE(seen - start >= milliseconds(30));
}

TEST_CASE("a socket that was put off and has nothing to read any more isn't as old as that later")
{
    EventLoop loop;
    std::vector<Duration> ages;
    ReadySocket listening(loop, WorkKind::NewRequest, [&] { ages.push_back(loop.lag()); });
    loop.runOnce(milliseconds(100));
    loop.keepWaiting(listening.socket());
    loop.runOnce(milliseconds(1));
    spend(milliseconds(100));
    loop.runOnce(milliseconds(1));
    listening.makeReady();
    loop.runOnce(milliseconds(100));
    REQUIRE(ages.size() == 2);
    REQUIRE(ages.back() < milliseconds(100));
}

TEST_CASE("responses beyond the time for them wait, and closes that come meanwhile are handled before them")
{
    // Longer than the time for responses, so that each iteration handles one.
    constexpr Duration WORK = milliseconds(30);
    EventLoop loop;
    std::string order;
    ReadySocket closing(loop, WorkKind::ClientClose, [&order] { order += 'c'; });
    std::vector<std::unique_ptr<ReadySocket>> responses;
    for (int i = 0; i < 3; ++i) {
        responses.push_back(std::make_unique<ReadySocket>(loop, WorkKind::Response, [&] {
            order += 'r';
            spend(WORK);
        }));
    }
    for (int i = 0; i < 3; ++i) {
        loop.runOnce(milliseconds(100));
        closing.makeReady();
    }
    REQUIRE(order == "crcrcr");
}

TEST_CASE("a background task is done in steps, between which events are handled")
{
    EventLoop loop;
    std::string order;
    int steps = 0;
    ReadySocket response(loop, WorkKind::Response, [&order] { order += 'r'; });
    loop.addTask([&] {
        order += 't';
        spend(milliseconds(12));
        return ++steps < 3;
    });
    const EventLoop::Task cancelled = loop.addTask([&order] {
        order += 'x';
        return true;
    });
    loop.cancelTask(cancelled);
    for (int i = 0; i < 4; ++i) {
        loop.runOnce(milliseconds(1));
        response.makeReady();
    }
    REQUIRE(order == "rtrtrtr");
}

// Objects that a timer kept for its iteration cancelled their own timers while the loop destroyed all of them.
TEST_CASE("a loop that ends destroys what its timers and tasks own, also if that cancels others")
{
    struct Owner
    {
        explicit Owner(EventLoop &eventLoop)
            : loop(eventLoop)
            , timer(loop.callAfter(milliseconds(1000), [] {}))
            , task(loop.addTask([] { return false; }))
        {
        }
        ~Owner()
        {
            loop.cancel(timer);
            loop.cancelTask(task);
        }
        EventLoop &loop;
        EventLoop::Timer timer;
        EventLoop::Task task;
    };
    std::weak_ptr<Owner> last;
    {
        EventLoop loop;
        for (int i = 0; i < 8; ++i) {
            auto owner = std::make_shared<Owner>(loop);
            last = owner;
            loop.callAt(loop.now(), [owner] {});
            loop.addTask([owner] { return false; });
        }
    }
    CHECK(last.expired());
}
