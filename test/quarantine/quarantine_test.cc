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

}  // namespace
