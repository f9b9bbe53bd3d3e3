#define BOOST_TEST_MODULE broken_answer_system
#include <boost/test/included/unit_test.hpp>

#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "platform/raw_upstream.h"
#include "system/one_entry.h"

namespace {

using namespace mimosadeck::system_test;
using mimosadeck::platform_test::kStreamEvents;
using mimosadeck::platform_test::raw_request;
using mimosadeck::platform_test::raw_script;
using mimosadeck::platform_test::raw_upstream;
using mimosadeck::platform_test::RawRefusal;
using mimosadeck::platform_test::StreamEvent;
using mimosadeck::platform_test::WholeBody;
using mimosadeck::platform_test::WholeStream;
namespace data = boost::unit_test::data;

constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20U;
/** More than the system buffers between an entry and an upstream that does not
 * read. */
constexpr std::size_t kLongUpload = std::size_t{8} << 20U;
constexpr std::size_t kShortUpload = 8;
constexpr auto kStamp = "raw/1";

/** @brief A broken answer of an upstream. */
struct broken_answer {
  const char* name;
  std::size_t upload_bytes{kShortUpload};
  std::string status{"200"};
  /** Fields besides those that a sound answer without a length has. */
  std::string fields{};
  /** The answer is written before the request was read. */
  bool is_early{};
  /** Ends with a reset, else the connection stays open. */
  bool resets{};
};

std::ostream& operator<<(std::ostream& out, const broken_answer& form) {
  return out << form.name;
}

const std::vector<broken_answer> kBrokenAnswers{
    {.name = "reset during the upload",
     .upload_bytes = kLongUpload,
     .is_early = true,
     .resets = true},
    {.name = "reset after the upload", .resets = true},
    {.name = "status 000", .status = "000"},
    {.name = "status 000 with a length",
     .status = "000",
     .fields = "Content-Length: 4\r\n"},
    {.name = "status 999", .status = "999"},
    {.name = "field name that begins with a blank",
     .fields = " Content-Length: 4\r\n"},
    {.name = "field name that begins with a control byte",
     .fields = "\tTransfer-Encoding: chunked\r\n"},
    {.name = "field name that ends with a blank",
     .fields = "Content-Length : 4\r\n"},
    {.name = "transfer coding that is not decoded",
     .fields = "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n"},
    {.name = "field name with a control byte", .fields = "X-\x01Name: n\r\n"},
};

bool IsStreamRoute(const std::string& target) {
  return target.starts_with("/resume/") || target.starts_with("/once/");
}

entry_options LongUploads() {
  auto manifest = json::parse(Manifest(1, "k1")).as_object();
  manifest["limits"] = json::object{{"max_body_bytes", kMaxBodyBytes}};
  entry_options out;
  out.manifest = json::serialize(manifest);
  return out;
}

/** @brief Fixture with one entry, an upstream near it that sends broken
 * answers, and a sound upstream in another data centre. */
struct broken_upstream : one_entry {
  raw_upstream raw{io};
  /** Id of the request that the broken answer was for. */
  std::string broken_id;

  broken_upstream() : one_entry(LongUploads()) {
    store.Drop("servers", "u1");
    second.data_centre = "b";
    // The raw upstream is preferred while its service time is unknown.
    second.work_time = 30ms;
    second.choose = [](const auto& request) {
      return IsStreamRoute(request.target) ? answer::stream : answer::good;
    };
    store.Put("servers", "u2", second.Entry("ready"));
    raw.on_request = [](const raw_request& request) -> raw_script {
      return {{RawRefusal("503 Service Unavailable",
                          "X-Request-Id: " + request.id + "\r\n")}};
    };
    BOOST_REQUIRE(Eventually([this] {
      return Get(control, "/upstreams?since=0").body.find("u1") ==
             std::string::npos;
    }));
  }

  static raw_script Script(const broken_answer& form,
                           const raw_request& request) {
    const bool is_stream = IsStreamRoute(request.target);
    const auto body = is_stream ? StreamEvent(request.id, 1)
                                : WholeBody(request.id, kStamp).substr(0, 4);
    const auto type = is_stream ? "Content-Type: text/event-stream\r\n" : "";
    return {{.bytes = "HTTP/1.1 " + form.status + " Status\r\nX-Request-Id: " +
                      request.id + "\r\nX-Server-Stamp: " + kStamp + "\r\n" +
                      type + form.fields + "\r\n" + body,
             .resets = form.resets}};
  }

  /** @brief Sends requests until one is answered by the broken upstream, and
   * returns the reply to that one. */
  reply CallBroken(const std::string& target, const broken_answer& form) {
    raw.id = "raw-" + target.substr(1, target.size() - 2);
    store.Put("servers", raw.id, raw.Entry());
    auto& hook = form.is_early ? raw.on_head : raw.on_request;
    hook = [this, &form](const raw_request& request) {
      broken_id = request.id;
      return Script(form, request);
    };
    reply got;
    BOOST_REQUIRE(Eventually([&] {
      auto request = Request(target);
      request.body = std::string(form.upload_bytes, 'b');
      got = Send(callers, std::move(request));
      return !broken_id.empty();
    }));
    store.Drop("servers", raw.id);
    BOOST_REQUIRE(LastId() == broken_id);
    return got;
  }

  std::ptrdiff_t RunsElsewhere() const {
    return std::count_if(
        second.runs.begin(), second.runs.end(), [this](const auto& run) {
          return run.request.fields.at("x-request-id") == broken_id;
        });
  }
};

BOOST_AUTO_TEST_SUITE(broken_answers)

// Guards against a broken answer that reaches the caller as a whole one, and
// against a second run of a request that must not run twice.
BOOST_DATA_TEST_CASE_F(broken_upstream,
                       request_that_may_be_repeated_gets_a_sound_answer,
                       data::make(kBrokenAnswers),
                       form) {
  const auto got = CallBroken("/safe/", form);
  BOOST_TEST(got.status == 200);
  BOOST_TEST(got.complete);
  BOOST_REQUIRE(RunsElsewhere() == 1);
  BOOST_TEST(got.body == WholeBody(broken_id, second.runs.back().stamp));
}

BOOST_DATA_TEST_CASE_F(broken_upstream,
                       request_that_must_not_be_repeated_fails_and_runs_once,
                       data::make(kBrokenAnswers),
                       form) {
  const auto got = CallBroken("/unsafe/", form);
  BOOST_TEST(got.status == 502);
  BOOST_TEST(!got.fields.contains("x-server-stamp"));
  BOOST_TEST(RunsElsewhere() == 0);
}

BOOST_DATA_TEST_CASE_F(broken_upstream,
                       stream_that_may_be_resumed_is_whole_or_cut_off,
                       data::make(kBrokenAnswers),
                       form) {
  const auto got = CallBroken("/resume/", form);
  const auto whole = WholeStream(broken_id);
  BOOST_TEST(whole.starts_with(got.body));
  BOOST_TEST(got.complete == (got.body == whole));
  BOOST_TEST(got.status == 200);
}

BOOST_DATA_TEST_CASE_F(broken_upstream,
                       stream_that_must_not_be_repeated_is_not_complete,
                       data::make(kBrokenAnswers),
                       form) {
  const auto got = CallBroken("/once/", form);
  BOOST_TEST((got.status == 502 || !got.complete));
  BOOST_TEST(RunsElsewhere() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
