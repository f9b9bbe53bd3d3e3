#include "mimosadeckd/peers.h"

namespace mimosadeck::daemon {

peers::peers(control_state& state, const std::string& address)
    : state_(state),
      link_(state.io,
            address,
            state.settings.fleet_secret,
            [this](wire::envelope message) { OnMessage(std::move(message)); }) {
}

std::string peers::Address() const {
  return link_.Address();
}

void peers::SetHandler(wire::envelope::BodyCase kind,
                       std::function<void(const wire::envelope&)> handler) {
  handlers_[kind] = std::move(handler);
}

void peers::SetSender(wire::envelope& message) const {
  message.set_from(state_.settings.id);
  message.set_incarnation(state_.incarnation_number);
  message.set_reply_address(link_.Address());
}

void peers::SendTo(const std::string& address, wire::envelope message) {
  SetSender(message);
  link_.Send(address, message);
}

void peers::Notify(const std::string& member, wire::envelope message) {
  const auto found = state_.view.members.find(member);
  if (found != state_.view.members.end()) {
    SendTo(found->second.peer_address, std::move(message));
  }
}

void peers::Reply(const wire::envelope& call, wire::envelope answer) {
  answer.set_reply(true);
  answer.set_correlation(call.correlation());
  SendTo(call.reply_address(), std::move(answer));
}

asio::awaitable<std::optional<wire::envelope>> peers::Call(
    std::string member,
    wire::envelope message,
    std::chrono::milliseconds timeout) {
  const auto correlation = next_correlation_++;
  message.set_correlation(correlation);
  const auto waiter =
      std::make_shared<net::one_shot<wire::envelope>>(state_.io.get_executor());
  pending_calls_[correlation] = waiter;
  Notify(member, std::move(message));
  auto answer = co_await waiter->Wait(timeout);
  pending_calls_.erase(correlation);
  co_return answer;
}

void peers::OnMessage(wire::envelope message) {
  if (message.reply()) {
    const auto found = pending_calls_.find(message.correlation());
    if (found != pending_calls_.end()) {
      const auto waiter = found->second;
      waiter->Set(std::move(message));
    }
    return;
  }
  const auto handler = handlers_.find(message.body_case());
  if (handler != handlers_.end()) {
    handler->second(message);
  }
}

}  // namespace mimosadeck::daemon
