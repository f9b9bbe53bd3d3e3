#define BOOST_TEST_MODULE revision
#include <boost/test/included/unit_test.hpp>

#include <rapidcheck.h>

#include "revision/revision.h"

namespace {

namespace revision = mimosadeck::revision;
using mimosadeck::error;
using mimosadeck::IsOk;

/** Returns a manifest with the given numbers of routes and keys. */
std::string Manifest(int version, int routes, int keys) {
  std::string out = R"({"version":)" + std::to_string(version);
  out += R"(,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    const auto name =
        std::to_string(static_cast<std::uint64_t>(i) * 2654435761U);
    out +=
        R"({"name":"r-)" + name + R"(","host":"h)" + name +
        R"(.example","prefix":"/)" + name +
        R"(/","kind":"safe","timeout_ms":800,"service":"pool","public":false},)";
  }
  out += R"(],"keys":[)";
  for (int i = 0; i < keys; ++i) {
    out += '"' + std::to_string(static_cast<unsigned>(i) * 2246822519U) + "\",";
  }
  return out + "]}";
}

struct two_members {
  revision::options settings;
  revision::history sender;
  revision::history receiver;

  void Write(std::uint64_t version, const std::string& text) {
    revision::Add(sender, settings, version, text);
  }

  /** Copies the newest text to the receiver. @return Size of the change. */
  std::size_t Copy() {
    const auto reply =
        revision::ChangeSince(sender, revision::NewestVersion(receiver));
    BOOST_REQUIRE(IsOk(reply));
    const auto& change = std::get<revision::change>(reply);
    auto text = revision::Apply(receiver, settings, change);
    BOOST_REQUIRE(IsOk(text));
    revision::Add(receiver, settings, change.version,
                  std::get<std::string>(std::move(text)));
    BOOST_TEST(receiver.texts.rbegin()->second ==
               sender.texts.rbegin()->second);
    return change.content.size();
  }
};

BOOST_FIXTURE_TEST_SUITE(copies, two_members)

BOOST_AUTO_TEST_CASE(member_without_text_gets_whole_text) {
  Write(3, "first");
  Copy();
  BOOST_TEST(revision::NewestVersion(receiver) == 3);
}

BOOST_AUTO_TEST_CASE(member_behind_all_kept_revisions_gets_whole_text) {
  Write(1, "first");
  Copy();
  for (std::uint64_t i = 2; i < 2 + 2 * settings.max_revisions; ++i) {
    Write(i, "text " + std::to_string(i));
  }
  const auto reply = revision::ChangeSince(sender, 1);
  BOOST_TEST(std::get<revision::change>(reply).since == 0);
  Copy();
}

BOOST_AUTO_TEST_CASE(older_revision_is_ignored) {
  Write(5, "new");
  Write(4, "old");
  BOOST_TEST(revision::NewestVersion(sender) == 5);
}

BOOST_AUTO_TEST_CASE(revisions_stay_within_byte_limit) {
  settings.max_bytes = 100;
  Write(1, std::string(80, 'a'));
  Write(2, std::string(80, 'b'));
  Write(3, std::string(200, 'c'));
  BOOST_TEST(sender.texts.size() == 2);
  Write(4, "d");
  BOOST_TEST(sender.texts.size() == 1);
}

BOOST_AUTO_TEST_CASE(any_texts_are_copied_exactly) {
  BOOST_TEST(rc::check([this](const std::vector<std::string>& texts) {
    sender = {};
    receiver = {};
    std::uint64_t version = 0;
    for (const auto& text : texts) {
      Write(++version, text);
      Copy();
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(bad_input, two_members)

BOOST_AUTO_TEST_CASE(change_of_unknown_version_is_an_error) {
  const auto applied = revision::Apply(receiver, settings, {7, 8, "x"});
  BOOST_REQUIRE(!IsOk(applied));
  BOOST_TEST((std::get<error>(applied).code ==
              mimosadeck::result_code::change_unreadable));
}

BOOST_AUTO_TEST_CASE(damaged_change_is_an_error) {
  Write(1, Manifest(1, 20, 5));
  auto change = std::get<revision::change>(revision::ChangeSince(sender, 0));
  change.content[change.content.size() / 2] ^= 1;
  BOOST_TEST(!IsOk(revision::Apply(receiver, settings, change)));
}

BOOST_AUTO_TEST_CASE(text_above_the_limit_is_an_error) {
  Write(1, std::string(1000, 'a'));
  settings.max_text_bytes = 999;
  const auto change =
      std::get<revision::change>(revision::ChangeSince(sender, 0));
  BOOST_TEST(!IsOk(revision::Apply(receiver, settings, change)));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_a_frame_are_an_error) {
  BOOST_TEST(rc::check([this](const std::string& content) {
    RC_ASSERT(!IsOk(revision::Apply(receiver, settings, {0, 1, content})));
  }));
}

BOOST_AUTO_TEST_SUITE_END()

/** Keys are withdrawn one at a time from a manifest of 1,500 routes. The copies
 * for all followers must not fill a slow link. */
BOOST_FIXTURE_TEST_SUITE(withdrawals_from_large_manifest, two_members)

BOOST_AUTO_TEST_CASE(copies_for_a_data_centre_fit_a_slow_link) {
  constexpr int kRoutes = 1500;
  constexpr int kKeys = 200;
  constexpr int kVersions = 10;
  constexpr std::size_t kFollowers = 15;
  constexpr std::size_t kLinkBytesPerSecond = 10'000'000 / 8;
  const auto whole = Manifest(1, kRoutes, kKeys);
  Write(1, whole);
  std::size_t bytes = Copy() * kFollowers;
  BOOST_TEST(bytes < kLinkBytesPerSecond);
  bytes = 0;
  for (int i = 2; i <= kVersions; ++i) {
    Write(static_cast<std::uint64_t>(i), Manifest(i, kRoutes, kKeys - i));
    bytes += Copy() * kFollowers;
  }
  BOOST_TEST_MESSAGE("whole " << whole.size() << ", changes " << bytes);
  BOOST_TEST(bytes < kLinkBytesPerSecond / 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
