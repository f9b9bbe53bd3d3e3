#include "mimosadeckd/control.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr char kIncarnationSeparator = '#';
constexpr net::call_limits kPlatformTimeouts{std::chrono::milliseconds(500),
                                             std::chrono::milliseconds(1500)};
constexpr int kHttpOk = 200;

bool IsRead(const infra::request& request) {
  return std::holds_alternative<infra::read_row>(request) ||
         std::holds_alternative<infra::scan_rows>(request) ||
         std::holds_alternative<infra::get_object>(request) ||
         std::holds_alternative<infra::list_vms>(request);
}

net::http_request MakeRequest(const infra::request& request) {
  net::http_request out;
  out.method = "POST";
  out.target = "/platform/v1";
  out.fields["content-type"] = "application/json";
  out.body = infra::EncodeRequest(request);
  return out;
}

infra::reply ReplyForFailure(const infra::request& request,
                             net::call_progress progress) {
  if (IsRead(request) || progress == net::call_progress::not_sent) {
    return infra::unavailable{};
  }
  return infra::unknown_outcome{};
}

}  // namespace
}  // namespace internal

platform_client::platform_client(std::string address)
    : address_(std::move(address)) {}

asio::awaitable<infra::reply> platform_client::Send(infra::request request) {
  const auto sent_at = Now();
  auto message = internal::MakeRequest(request);
  const auto outcome = co_await client_.Call(address_, std::move(message),
                                             internal::kPlatformTimeouts);
  if (const auto* failure = std::get_if<net::call_failure>(&outcome)) {
    co_return internal::ReplyForFailure(request, failure->progress);
  }
  const auto& response = std::get<net::http_response>(outcome);
  const auto decoded = infra::DecodeReply(response.body);
  if (response.status != internal::kHttpOk || !IsOk(decoded)) {
    co_return internal::ReplyForFailure(request, net::call_progress::sent);
  }
  auto reply = std::get<infra::reply>(decoded);
  if (!std::holds_alternative<infra::unavailable>(reply)) {
    last_reply_at_ = sent_at;
  }
  co_return reply;
}

std::string IncarnationName(const std::string& id, std::uint64_t number) {
  return id + internal::kIncarnationSeparator + std::to_string(number);
}

const membership::member* FindMember(const control_state& state,
                                     const std::string& incarnation) {
  const auto separator = incarnation.rfind(internal::kIncarnationSeparator);
  const auto found = state.view.members.find(incarnation.substr(0, separator));
  if (found == state.view.members.end() ||
      IncarnationName(found->first, found->second.incarnation) != incarnation) {
    return nullptr;
  }
  return &found->second;
}

bool IsDeparted(const control_state& state, const std::string& incarnation) {
  if (incarnation == state.incarnation) {
    return false;
  }
  const auto now = Now();
  if (now - state.started_at < state.membership_options.suspicion_timeout) {
    return false;
  }
  const auto* member = FindMember(state, incarnation);
  return !member || member->off_list ||
         member->state == membership::member_state::dead;
}

std::vector<ownership::candidate> OwnerCandidates(const control_state& state) {
  std::vector<ownership::candidate> out;
  for (const auto& member : membership::Eligible(state.view)) {
    out.push_back({member.id, member.data_centre});
  }
  return out;
}

asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace mimosadeck::daemon
