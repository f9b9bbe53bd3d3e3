#define BOOST_TEST_MODULE quarantine
#include <boost/test/included/unit_test.hpp>

#include <random>

#include "quarantine/quarantine.h"

namespace {

using namespace std::chrono_literals;
using mimosadeck::mono_time;
namespace quarantine = mimosadeck::quarantine;

struct one_table {
  quarantine::suspect_table suspect_table;
  quarantine::options options;
  mono_time now{1h};

  void Crash(const std::string& id, const std::set<std::string>& running) {
    static_cast<void>(
        quarantine::OnCrash(suspect_table, options, id, running, now));
  }
};

BOOST_FIXTURE_TEST_SUITE(suspects, one_table)

BOOST_AUTO_TEST_CASE(request_crashing_alone_twice_is_condemned) {
  Crash("c1", {"poison", "innocent"});
  BOOST_TEST(quarantine::MustRunAlone(suspect_table, "poison"));
  BOOST_TEST(quarantine::MustRunAlone(suspect_table, "innocent"));
  BOOST_TEST(!quarantine::IsCondemned(suspect_table, "poison"));
  quarantine::OnFinished(suspect_table, "innocent");
  Crash("c2", {"poison"});
  Crash("c3", {"poison"});
  BOOST_TEST(quarantine::IsCondemned(suspect_table, "poison"));
  BOOST_TEST(!quarantine::IsCondemned(suspect_table, "innocent"));
  BOOST_TEST(!quarantine::MustRunAlone(suspect_table, "innocent"));
}

BOOST_AUTO_TEST_CASE(one_crash_reported_by_many_entries_counts_once) {
  for (int i = 0; i < 10; ++i) {
    Crash("c1", {"x"});
  }
  BOOST_TEST(!quarantine::IsCondemned(suspect_table, "x"));
}

BOOST_AUTO_TEST_CASE(crash_received_from_other_entry_counts) {
  Crash("c1", {"x"});
  quarantine::suspect_table other;
  static_cast<void>(quarantine::OnCrash(other, options, "c2", {"x"}, now));
  quarantine::Merge(suspect_table, options, "x", other.suspects.at("x"), now);
  BOOST_TEST(quarantine::IsCondemned(suspect_table, "x"));
}

BOOST_AUTO_TEST_CASE(many_innocents_beside_poison_none_is_condemned) {
  std::mt19937 random(5);
  for (int round = 0; round < 40; ++round) {
    quarantine::suspect_table fresh;
    std::set<std::string> batch{"poison"};
    for (int i = 0; i < 7; ++i) {
      batch.insert("n" + std::to_string(random() % 1000));
    }
    static_cast<void>(quarantine::OnCrash(fresh, options, "first", batch, now));
    int crashes = 0;
    for (const auto& request : batch) {
      BOOST_TEST(quarantine::MustRunAlone(fresh, request));
      if (request != "poison") {
        quarantine::OnFinished(fresh, request);
        continue;
      }
      while (!quarantine::IsCondemned(fresh, request) && crashes < 10) {
        static_cast<void>(quarantine::OnCrash(
            fresh, options, "c" + std::to_string(crashes++), {request}, now));
      }
    }
    BOOST_TEST(crashes <= 2);
    for (const auto& request : batch) {
      BOOST_TEST(quarantine::IsCondemned(fresh, request) ==
                 (request == "poison"));
    }
  }
}

BOOST_AUTO_TEST_CASE(fingerprint_depends_on_account_and_body) {
  BOOST_TEST(quarantine::Fingerprint("a", "x") ==
             quarantine::Fingerprint("a", "x"));
  BOOST_TEST(quarantine::Fingerprint("a", "x") !=
             quarantine::Fingerprint("b", "x"));
  BOOST_TEST(quarantine::Fingerprint("a", "x") !=
             quarantine::Fingerprint("a", "y"));
}

// Guards against a retried request that differs only in its query and so is
// counted as another request.
BOOST_AUTO_TEST_CASE(fingerprint_of_a_body_does_not_depend_on_the_query) {
  const auto fingerprint = [](std::string_view method, std::string_view target,
                              std::string_view body) {
    return quarantine::Fingerprint("a", method, target, body);
  };
  BOOST_TEST(fingerprint("POST", "/x?n=1", "b") ==
             fingerprint("POST", "/x?n=2", "b"));
  BOOST_TEST(fingerprint("POST", "/x", "b") != fingerprint("POST", "/y", "b"));
  BOOST_TEST(fingerprint("POST", "/x", "b") != fingerprint("POST", "/x", "c"));
  BOOST_TEST(fingerprint("GET", "/x?n=1", "") !=
             fingerprint("GET", "/x?n=2", ""));
}

BOOST_AUTO_TEST_CASE(suspect_old_is_forgotten) {
  Crash("c1", {"x"});
  quarantine::Tick(suspect_table, options, now + options.forget_after + 1ms);
  BOOST_TEST(!quarantine::MustRunAlone(suspect_table, "x"));
}

BOOST_AUTO_TEST_SUITE_END()

/** Prompt parts of an entry's requests. */
struct prompt_parts : one_table {
  const std::string shared{quarantine::PartName(0x1)};
  const std::string crashing{quarantine::PartName(0xbad)};

  void Request(const std::vector<std::string>& parts) {
    quarantine::OnPartsRequested(suspect_table, options, parts, now);
  }

  /** Ends an upstream under a request with these parts. */
  std::vector<std::string> End(const std::string& crash,
                               const std::vector<std::string>& parts) {
    now += 1s;
    Request(parts);
    quarantine::OnPartsCrash(suspect_table, options, crash, parts, now, now);
    return quarantine::CondemnParts(suspect_table, options);
  }

  void EndUntilCondemned() {
    for (std::uint32_t i = 0; i < options.crashes_to_condemn_part; ++i) {
      End("u" + std::to_string(i) + "#1@a", {shared, crashing});
    }
    BOOST_REQUIRE(quarantine::IsCondemned(suspect_table, crashing));
  }

  std::vector<std::string> Serve(const std::vector<std::string>& parts) {
    now += 10ms;
    return quarantine::OnPartsServed(suspect_table, options, parts, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(parts, prompt_parts)

BOOST_AUTO_TEST_CASE(crash_seen_by_several_entries_counts_once) {
  for (const auto* observer : {"a", "b", "c", "d", "e"}) {
    End(std::string("u1#1@") + observer, {crashing});
  }
  BOOST_TEST(quarantine::CrashCount(suspect_table, crashing) == 1);
}

BOOST_AUTO_TEST_CASE(condemned_part_explains_crashes_of_parts_beside_it) {
  EndUntilCondemned();
  BOOST_TEST(quarantine::CrashCount(suspect_table, shared) == 0);
  End("u9#1@a", {shared, crashing});
  End("u9#1@a", {shared});
  BOOST_TEST(quarantine::CrashCount(suspect_table, shared) == 0);
}

BOOST_AUTO_TEST_CASE(part_served_while_the_request_ran_is_not_blamed) {
  Request({shared, crashing});
  const auto sent_at = now;
  Serve({shared});
  quarantine::OnPartsCrash(suspect_table, options, "u1#1@a", {shared, crashing},
                           sent_at, now);
  BOOST_TEST(quarantine::CrashCount(suspect_table, shared) == 0);
  BOOST_TEST(quarantine::CrashCount(suspect_table, crashing) == 1);
}

// Guards against refusing a sound part until its retention ends.
BOOST_AUTO_TEST_CASE(condemned_part_that_is_served_is_acquitted) {
  EndUntilCondemned();
  const auto acquitted = Serve({crashing});
  BOOST_REQUIRE(acquitted.size() == 1);
  BOOST_TEST(!quarantine::IsCondemned(suspect_table, crashing));
  const auto told =
      quarantine::SelectSuspects(suspect_table, options, now).selected;
  BOOST_REQUIRE(told.size() == 1);
  BOOST_TEST(told.front()->second.acquitted_at.has_value());
}

BOOST_AUTO_TEST_CASE(acquittal_of_another_entry_is_taken_over) {
  EndUntilCondemned();
  quarantine::suspect received;
  received.crashed_at = now;
  received.acquitted_at = now + 10ms;
  now += 20ms;
  static_cast<void>(
      quarantine::Merge(suspect_table, options, crashing, received, now));
  BOOST_TEST(!quarantine::IsCondemned(suspect_table, crashing));
}

BOOST_AUTO_TEST_CASE(verdict_on_a_part_that_was_served_since_is_rebutted) {
  Serve({shared});
  quarantine::suspect received;
  received.condemned = true;
  received.crashed_at = now - 1ms;
  BOOST_TEST(!quarantine::Merge(suspect_table, options, shared, received, now));
  BOOST_TEST(!quarantine::IsCondemned(suspect_table, shared));
  BOOST_TEST(
      quarantine::SelectSuspects(suspect_table, options, now).selected.size() ==
      1);
}

BOOST_AUTO_TEST_CASE(parts_that_are_remembered_are_bounded) {
  options.max_parts = 100;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    now += 1ms;
    Request({quarantine::PartName(i)});
    BOOST_REQUIRE(suspect_table.parts.size() <= options.max_parts);
  }
  BOOST_TEST(suspect_table.parts.contains(quarantine::PartName(999)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
