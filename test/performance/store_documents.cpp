/** \file
 * Measures what decoding the documents of the platform's store costs by their size: a configuration by its routes, and
 * a list by its endpoints. Run: build/test/performance_store_documents
 */
#include "storedocuments.h"

#include "gateway/endpointlist.h"

#include <Poco/Base64Encoder.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <sstream>

using namespace Cyclamenturn;

namespace
{

constexpr int REPETITIONS = 7;

/** Returns the median time of one call of `work` in microseconds. */
double microsecondsOf(const std::function<void()> &work)
{
    std::vector<double> times;
    for (int i = 0; i < REPETITIONS; ++i) {
        const auto start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        times.push_back(elapsed.count());
    }
    std::nth_element(times.begin(), times.begin() + REPETITIONS / 2, times.end());
    return times[REPETITIONS / 2];
}

std::string base64(const std::string &text)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return out.str();
}

std::string item(const std::string &key, const std::string &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" + std::to_string(revision)
        + R"(,"create_rev":1,"lease":0)";
}

std::string configurationDocument(int routes)
{
    std::string out
        = R"({"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":65536,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"services":[{"name":"asistan",)"
          R"("health_path":"/h","max_connections":736}],"tenants":[{"name":"t","api_keys":["k"]}],"routes":[)";
    for (int i = 0; i < routes; ++i) {
        const std::string number = std::to_string(i);
        out += (i == 0 ? "" : ",") + std::string(R"({"name":"r)") + number + R"(","host":"deba)"
            + std::to_string(i % 40) + R"(.example","prefix":"/kacu)" + number
            + R"(/","route_type":"streaming","timeout_ms":12000,"slo_ms":300,"gap_target_ms":250,"priority":1,)"
              R"("service":"asistan","max_attempts":2,"public":false,"sticky":true,"can_resume":true})";
    }
    return out + "]}";
}

std::string endpointPage(int endpoints)
{
    std::string out = R"({"items":[)";
    for (int i = 0; i < endpoints; ++i) {
        const std::string number = std::to_string(i);
        out += (i == 0 ? "" : ",")
            + item("servers/i-" + number,
                R"({"service":"asistan","addr":"10.1.2.3:80","zone":"ank-a","version":"v1","slots":64,"state":"ready",)"
                R"("cold_left_ms":0,"sequence":12,"born":1790000000000})",
                i + 1)
            + "}";
    }
    return out + R"(],"more_pages":false,"current_rev":9})";
}

void measureConfiguration(int routes)
{
    const Platform::JsonStoreCodec codec;
    const std::string document = configurationDocument(routes);
    const std::string body = item("op/config", document, 5) + R"(,"current_rev":5})";
    ConfigurationPage page;
    const double itemUs = microsecondsOf([&] { page = codec.decodeConfigurationRead(body); });
    RoutingConfigurationPtr configuration;
    double longestPartUs = 0;
    const double documentUs = microsecondsOf([&] {
        const auto decoder = codec.beginConfiguration(page.latest->encodedDocument, configuration);
        RoutingConfigurationPtr next;
        while (!next) {
            const auto start = std::chrono::steady_clock::now();
            next = decoder->decodeNext();
            const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
            longestPartUs = std::max(longestPartUs, elapsed.count());
        }
        configuration = std::move(next);
    });
    std::printf("configuration, %5d routes, %7zu bytes: item %8.0f us, document %8.0f us, longest part %.0f us, %.2f "
                "us a route\n",
        routes, document.size(), itemUs, documentUs, longestPartUs, (itemUs + documentUs) / routes);
}

void measureList(int endpoints)
{
    const Platform::JsonStoreCodec codec;
    const std::string body = endpointPage(endpoints);
    StorePage page;
    const double pageUs = microsecondsOf([&] { page = codec.decodePage(body); });
    const double recordsUs = microsecondsOf([&] {
        for (const auto &record : page.items) {
            codec.decodeEndpoint(record);
        }
    });
    std::printf("list, %5d endpoints, %7zu bytes: page %8.0f us, records %8.0f us, %.2f us an endpoint\n", endpoints,
        body.size(), pageUs, recordsUs, (pageUs + recordsUs) / endpoints);
}

void measureUpdate(int endpoints)
{
    std::vector<EndpointRecord> records;
    for (int i = 0; i < endpoints; ++i) {
        records.push_back(
            {"i-" + std::to_string(i), "asistan", {"10.1.2.3", 80}, "ank-a", "v1", 64, false, 1790000000000});
    }
    const TimePoint now = timeFromMilliseconds(1000000);
    const TimePoint later = now + EndpointList::CHANGE_RETENTION;
    EndpointList sender;
    EndpointList receiver;
    EndpointDirectory directory;
    sender.replace(records, {1, 1}, now);
    receiver.replace(records, {1, 1}, now);
    directory.apply(receiver.records(), receiver.revision(), now);
    std::uint64_t revision = 1;
    double replaceUs = 0;
    double mergeUs = 0;
    double applyUs = 0;
    for (int i = 0; i < REPETITIONS; ++i) {
        records[0].isLeaving = !records[0].isLeaving;
        const StoreRevision next{1, ++revision};
        const auto time = [](double &sum, const std::function<void()> &work) {
            const auto start = std::chrono::steady_clock::now();
            work();
            const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
            sum += elapsed.count() / REPETITIONS;
        };
        EndpointListUpdate update;
        time(replaceUs, [&] {
            sender.replace(records, next, later);
            update = sender.recentChanges(later);
        });
        time(mergeUs, [&] { receiver.merge(update, later); });
        time(applyUs, [&] { directory.apply(receiver.records(), receiver.revision(), later); });
    }
    std::printf("change of a list, %5d endpoints: replace %6.0f us, merge %6.0f us, apply %6.0f us\n", endpoints,
        replaceUs, mergeUs, applyUs);
}

}

int main()
{
    for (const int routes : {50, 1400, 2800, 4200}) {
        measureConfiguration(routes);
    }
    for (const int endpoints : {44, 600, 3000}) {
        measureList(endpoints);
        measureUpdate(endpoints);
    }
    return 0;
}
