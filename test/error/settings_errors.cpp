/** \file
 * Error messages for invalid settings name the file, the line, the key and the allowed values.
 */
#include "errors.h"
#include "settings.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

const std::string VALID_SETTINGS = R"(role = "agent"
name = "a"
vm = "v"
failure_domain = "d"
listen = "127.0.0.1:1"
store = "127.0.0.1:2"
fleet_key_file = "k"
[agent]
endpoint = "e"
service = "s"
address = "127.0.0.1:3"
)";

struct Case
{
    const char *description;
    const char *original;
    const char *replacement;
    const char *expected;
};

const Case CASES[] = {
    {"unknown key", "vm = \"v\"", "vmm = \"v\"", "s.toml:1: key 'vm'"},
    {"unknown extra key", "vm = \"v\"", "vm = \"v\"\ncolour = 1", "s.toml:4: key 'colour': unknown key"},
    {"wrong type", "name = \"a\"", "name = 3", "s.toml:2: key 'name': must be a string"},
    {"unknown role", "role = \"agent\"", "role = \"king\"", "s.toml:1: key 'role': must be one of: entry, agent"},
    {"host name", "127.0.0.1:2", "store.local:2", "s.toml:6: key 'store'"},
    {"port out of range", "127.0.0.1:2", "127.0.0.1:70000", "must be an IP number and a port"},
    {"number out of range", "vm = \"v\"", "vm = \"v\"\nthreads = 1", "must be an integer from 16 to 4096"},
    {"broken TOML", "vm = \"v\"", "vm = ", "s.toml:3:"},
    {"missing agent table", "[agent]", "[policy]", "key 'agent.endpoint'"},
};

}

TEST_CASE("valid settings are accepted")
{
    const Settings settings = parseSettings(VALID_SETTINGS, "s.toml");
    CHECK(settings.role == Role::Agent);
    CHECK(settings.advertised == settings.listen);
}

TEST_CASE("errors in settings name the file, the line, the key and the allowed values")
{
    for (const Case &item : CASES) {
        INFO(item.description);
        std::string text = VALID_SETTINGS;
        text.replace(text.find(item.original), std::string(item.original).size(), item.replacement);
        try {
            parseSettings(text, "s.toml");
            FAIL("no error");
        } catch (const UserError &error) {
            INFO(error.what());
            CHECK(std::string(error.what()).find(item.expected) != std::string::npos);
        }
    }
}
