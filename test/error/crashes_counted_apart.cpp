/** \file
 * Three gateways that each recorded one crash of the same request count three crashes once they have exchanged reports.
 */
#include "crashquarantine.h"
#include "fixtures.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>

using namespace Cyclamenturn;

namespace
{

constexpr std::uint64_t CRASHING = 7;
constexpr std::size_t MAX_REPORTS = 8;
constexpr int CRASH_LIMIT = 3;

}

TEST_CASE("crashes recorded by three gateways at the same time add up once they have exchanged reports")
{
    std::array<CrashQuarantine, 3> gateways{
        CrashQuarantine(CRASH_LIMIT), CrashQuarantine(CRASH_LIMIT), CrashQuarantine(CRASH_LIMIT)};
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways[i].recordCrash(CRASHING, "engine-" + std::to_string(i), at(0));
    }
    for (auto &receiver : gateways) {
        for (const auto &sender : gateways) {
            for (const auto &report : sender.reports(at(300), MAX_REPORTS)) {
                receiver.merge(report, at(300));
            }
        }
    }
    for (const auto &gateway : gateways) {
        CHECK(gateway.crashes(CRASHING, at(300)) == 3);
        CHECK(gateway.isQuarantined(CRASHING, at(300)));
    }
}
