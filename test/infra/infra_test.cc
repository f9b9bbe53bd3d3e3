#define BOOST_TEST_MODULE platform
#include <boost/test/included/unit_test.hpp>

#include "stand_in/memory_platform.h"
#include "system/deployment.h"

namespace {

namespace infra = mimosadeck::infra;
using mimosadeck::IsOk;
using mimosadeck::stand_in::memory_platform;
using mimosadeck::system_test::Call;
using mimosadeck::system_test::process;

/** @brief The in-memory platform, called directly. */
struct memory_port {
  memory_platform state;

  infra::reply Send(const infra::request& request) {
    return Handle(state, request);
  }
  void Down(bool down) { state.faults.down = down; }
  void LoseReply() { state.faults.lost_replies = 1; }
};

/** @brief The stand-in platform process, called over HTTP. */
struct http_port {
  process server{"platform",
                 {std::string(std::getenv("MIMOSADECK_BUILD")) +
                  "/test/stand_in_platform"}};
  std::string address = server.Value("ADDRESS");

  infra::reply Send(const infra::request& request) {
    const auto answer =
        Call(address, "POST", "/platform/v1", infra::EncodeRequest(request));
    if (answer.failed) {
      return infra::unknown_outcome{};
    }
    const auto decoded = infra::DecodeReply(answer.body);
    BOOST_REQUIRE(IsOk(decoded));
    return std::get<infra::reply>(decoded);
  }
  void Down(bool down) {
    static_cast<void>(Call(address, "POST", "/control",
                           down ? R"({"down":true})" : R"({"down":false})"));
  }
  void LoseReply() {
    static_cast<void>(
        Call(address, "POST", "/control", R"({"lost_replies":1})"));
  }
};

using ports = std::tuple<memory_port, http_port>;

infra::commit MakeCommit(const std::string& key,
                         std::uint64_t version,
                         const std::string& value) {
  infra::commit out;
  out.conditions.push_back({key, version});
  out.writes.push_back({key, value});
  return out;
}

template <typename T>
bool Is(const infra::reply& reply) {
  return std::holds_alternative<T>(reply);
}

BOOST_AUTO_TEST_SUITE(port_contract)

BOOST_AUTO_TEST_CASE_TEMPLATE(commit_on_absent_row_creates_it_once,
                              port,
                              ports) {
  port under_test;
  BOOST_TEST(Is<infra::row_absent>(under_test.Send(infra::read_row{"k"})));
  const auto first = under_test.Send(MakeCommit("k", 0, "a"));
  BOOST_REQUIRE(Is<infra::committed>(first));
  const auto version = std::get<infra::committed>(first).version;
  const auto second = under_test.Send(MakeCommit("k", 0, "b"));
  BOOST_REQUIRE(Is<infra::conflict>(second));
  BOOST_TEST(std::get<infra::conflict>(second).version == version);
  const auto found = under_test.Send(infra::read_row{"k"});
  BOOST_REQUIRE(Is<infra::row_found>(found));
  BOOST_TEST(std::get<infra::row_found>(found).found.value == "a");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(commit_with_one_false_condition_writes_nothing,
                              port,
                              ports) {
  port under_test;
  infra::commit both;
  both.conditions = {{"a", 0}, {"b", 7}};
  both.writes = {{"a", "1"}, {"b", "1"}};
  BOOST_TEST(Is<infra::conflict>(under_test.Send(both)));
  BOOST_TEST(Is<infra::row_absent>(under_test.Send(infra::read_row{"a"})));
}

BOOST_AUTO_TEST_CASE_TEMPLATE(write_whose_reply_is_lost_takes_effect,
                              port,
                              ports) {
  port under_test;
  under_test.LoseReply();
  BOOST_TEST(
      Is<infra::unknown_outcome>(under_test.Send(MakeCommit("k", 0, "a"))));
  BOOST_TEST(Is<infra::row_found>(under_test.Send(infra::read_row{"k"})));
}

BOOST_AUTO_TEST_CASE_TEMPLATE(write_while_the_store_is_down_has_no_effect,
                              port,
                              ports) {
  port under_test;
  under_test.Down(true);
  BOOST_TEST(Is<infra::unavailable>(under_test.Send(MakeCommit("k", 0, "a"))));
  BOOST_TEST(Is<infra::unavailable>(under_test.Send(infra::list_vms{})));
  under_test.Down(false);
  BOOST_TEST(Is<infra::row_absent>(under_test.Send(infra::read_row{"k"})));
}

BOOST_AUTO_TEST_CASE_TEMPLATE(scan_in_pages_returns_rows_in_order,
                              port,
                              ports) {
  port under_test;
  for (const std::string key : {"p/3", "p/1", "q/1", "p/2"}) {
    BOOST_TEST(Is<infra::committed>(under_test.Send(MakeCommit(key, 0, key))));
  }
  const auto first = under_test.Send(infra::scan_rows{"p/", "p/", 2});
  BOOST_REQUIRE(Is<infra::rows_page>(first));
  const auto& page = std::get<infra::rows_page>(first);
  BOOST_REQUIRE(page.rows.size() == 2);
  BOOST_TEST(page.rows[0].key == "p/1");
  BOOST_TEST(page.more);
  const auto rest = std::get<infra::rows_page>(
      under_test.Send(infra::scan_rows{"p/", "p/2", 2}));
  BOOST_REQUIRE(rest.rows.size() == 1);
  BOOST_TEST(rest.rows[0].key == "p/3");
  BOOST_TEST(!rest.more);
}

BOOST_AUTO_TEST_CASE_TEMPLATE(object_put_is_read_back, port, ports) {
  port under_test;
  BOOST_TEST(Is<infra::object_absent>(under_test.Send(infra::get_object{"o"})));
  BOOST_TEST(Is<infra::object_stored>(
      under_test.Send(infra::put_object{"o", "bytes \"quoted\""})));
  const auto found = under_test.Send(infra::get_object{"o"});
  BOOST_REQUIRE(Is<infra::object_found>(found));
  BOOST_TEST(std::get<infra::object_found>(found).bytes == "bytes \"quoted\"");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(order_with_old_fencing_is_refused, port, ports) {
  port under_test;
  infra::place_order order;
  order.data_centre = "x";
  order.order_id = "1";
  order.fencing = 5;
  BOOST_TEST(Is<infra::order_accepted>(under_test.Send(order)));
  BOOST_TEST(Is<infra::order_accepted>(under_test.Send(order)));
  order.fencing = 4;
  BOOST_TEST(Is<infra::order_refused>(under_test.Send(order)));
}

BOOST_AUTO_TEST_CASE_TEMPLATE(
    repeated_report_is_accepted_if_equal_and_refused_if_not,
    port,
    ports) {
  port under_test;
  BOOST_TEST(Is<infra::report_accepted>(
      under_test.Send(infra::report_usage{"w", 1, "a"})));
  BOOST_TEST(Is<infra::report_accepted>(
      under_test.Send(infra::report_usage{"w", 2, "a"})));
  BOOST_TEST(Is<infra::report_refused>(
      under_test.Send(infra::report_usage{"w", 2, "b"})));
}

BOOST_AUTO_TEST_CASE(text_malformed_is_an_error_not_a_request) {
  for (const std::string text :
       {"", "{", "[]", "{}", R"({"op":"other"})", R"({"op":"read_row"})",
        R"({"op":"commit","conditions":1})"}) {
    BOOST_TEST(!IsOk(infra::DecodeRequest(text)), text);
    BOOST_TEST(!IsOk(infra::DecodeReply(text)), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
