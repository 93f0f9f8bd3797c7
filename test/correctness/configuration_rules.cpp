/** \file
 * Tests the configuration document: exceptions, the rule that the active revision never decreases, and the resolution
 * of edits.
 */
#include "activeconfiguration.h"
#include "editresolution.h"
#include "errors.h"
#include "fixtures.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

ConfigurationDocument documentOf(std::uint64_t revision, const std::string &toml = configurationText())
{
    ConfigurationDocument out;
    out.revision = revision;
    out.toml = toml;
    return out;
}

}

TEST_CASE("an exception changes its target, and is refused without a valid target, change and reason")
{
    const auto changed = testConfiguration(1, R"(
[[exception]]
target = "class:draft"
reason = "overnight"
set = { deadline_ms = 60000 }
)");
    CHECK(changed->findClass("draft")->deadline == milliseconds(60000));
    CHECK(changed->exceptions().front().reason == "overnight");
    const char *const wrong[] = {
        "[[exception]]\ntarget = \"class:draft\"\nset = { deadline_ms = 1 }\n",
        "[[exception]]\ntarget = \"class:other\"\nreason = \"x\"\nset = { deadline_ms = 1 }\n",
        "[[exception]]\ntarget = \"king:draft\"\nreason = \"x\"\nset = { deadline_ms = 1 }\n",
        "[[exception]]\ntarget = \"class:draft\"\nreason = \"x\"\nset = { colour = 1 }\n",
        "[[exception]]\ntarget = \"class:draft\"\nreason = \"x\"\n",
        "[[exception]]\ntarget = \"class:draft\"\nreason = \"x\"\nset = { name = \"y\" }\n",
        "[[exception]]\ntarget = \"class:dispatch\"\nreason = \"x\"\nset = { sheddable = true }\n",
    };
    for (const char *text : wrong) {
        INFO(text);
        CHECK_THROWS_AS(testConfiguration(1, text), UserError);
    }
}

TEST_CASE("the active revision never decreases, and an invalid document changes nothing")
{
    ActiveConfiguration activeConfiguration;
    CHECK(activeConfiguration.offer(documentOf(5)) == OfferResult::Applied);
    CHECK(activeConfiguration.offer(documentOf(5)) == OfferResult::AlreadyInForce);
    CHECK(activeConfiguration.offer(documentOf(4)) == OfferResult::RefusedOlder);
    CHECK(activeConfiguration.offer(documentOf(6, "[fleet]\nname = 3\n")) == OfferResult::RefusedInvalid);
    CHECK(activeConfiguration.revision() == 5);
    CHECK(activeConfiguration.invalidRevision() == 6);
    CHECK(activeConfiguration.offer(documentOf(7)) == OfferResult::Applied);
    CHECK(activeConfiguration.invalidRevision() == 0);
    CHECK(activeConfiguration.refusedOlderCount() == 1);
}

TEST_CASE("an edit is resolved by its id, also if the store's response was lost")
{
    const ConfigurationDocument base = documentOf(10);
    const ConfigurationDocument ours = base.next("a", "ours", "ada", timeFromMilliseconds(0));
    const ConfigurationDocument later = ours.next("b", "later", "bo", timeFromMilliseconds(0));
    const ConfigurationDocument theirs = base.next("c", "theirs", "bo", timeFromMilliseconds(0));
    CHECK(resolveEdit(base, "ours", 10).state == EditState::NotYet);
    CHECK(resolveEdit(ours, "ours", 10).state == EditState::Accepted);
    CHECK(resolveEdit(ours, "ours", 10).revision == 11);
    CHECK(resolveEdit(later, "ours", 10).state == EditState::Superseded);
    CHECK(resolveEdit(later, "ours", 10).otherEdit.author == "bo");
    CHECK(resolveEdit(theirs, "ours", 10).state == EditState::Refused);
    CHECK(resolveEdit(theirs, "ours", 10).otherEdit.editId == "theirs");
    CHECK(resolveEdit(documentOf(9), "ours", 10).state == EditState::StoreBehind);
}

TEST_CASE("no two edits share a revision, also if the store was reset between them")
{
    const ConfigurationDocument base = documentOf(10);
    const ConfigurationDocument one = base.next("a", "one", "ada", timeFromMilliseconds(1000));
    const ConfigurationDocument two = base.next("b", "two", "bo", timeFromMilliseconds(1001));
    CHECK(one.revision == 1000);
    CHECK(two.revision == 1001);
    CHECK(two.next("c", "three", "bo", timeFromMilliseconds(500)).revision == 1002);
}

TEST_CASE("a document is unchanged by encoding and decoding, and invalid texts are refused")
{
    const ConfigurationDocument document = documentOf(3).next("x = \"\xc4\x9f\"", "id", "ada", timeFromMilliseconds(7));
    const ConfigurationDocument back = ConfigurationDocument::decode(document.encode());
    CHECK(back.revision == document.revision);
    CHECK(back.toml == document.toml);
    CHECK(back.edits == document.edits);
    for (const char *text : {"", "[]", "{}", "{\"revision\": 0, \"toml\": \"\"}", "{\"revision\": -1, \"toml\": \"\"}",
             "{\"revision\": 1, \"toml\": 2}", "{\"revision\": \"1\", \"toml\": \"\"}"}) {
        INFO(text);
        CHECK_THROWS_AS(ConfigurationDocument::decode(text), UserError);
    }
}
