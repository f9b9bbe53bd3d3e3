#include "mimosadeckd/pools.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace mimosadeck::daemon {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kReconcileInterval{1000};
constexpr std::chrono::milliseconds kAskAgainAfter{300};
constexpr std::chrono::milliseconds kAnswerMargin{500};
constexpr std::chrono::milliseconds kTryAgainAfter{200};
constexpr std::chrono::milliseconds kLeavingCost{20};
constexpr std::size_t kPoolsTried = 3;
constexpr char kCentreMark = '@';
constexpr net::call_limits kLoadLimits{std::chrono::milliseconds(300),
                                       std::chrono::milliseconds(500)};

std::string PoolName(const infra::vm& item) {
  return item.pool + kCentreMark + item.data_centre;
}

std::string CentreOf(const std::string& pool) {
  return pool.substr(pool.find(kCentreMark) + 1);
}

dispatch::request ToRequest(const wire::grant_request& in,
                            const std::string& entry) {
  dispatch::request out;
  out.id = in.request();
  out.entry = entry;
  out.account = in.account();
  out.class_name = in.class_name();
  out.weight = in.weight() > 0 ? in.weight() : 1;
  out.tier = std::min(static_cast<int>(in.tier()), admission::kTierCount - 1);
  out.expected_tokens = in.expected_tokens();
  out.max_wait = std::chrono::milliseconds(in.max_wait_ms());
  out.fingerprint = in.fingerprint();
  out.prefix = in.prefix();
  out.resumable = in.resumable();
  out.resumed = in.resumed();
  out.avoid = {in.avoid().begin(), in.avoid().end()};
  return out;
}

void ToWire(const slot_request& in,
            const std::string& pool,
            std::uint64_t request,
            wire::grant_request& out) {
  out.set_pool(pool);
  out.set_request(request);
  out.set_account(in.account);
  out.set_class_name(in.class_name);
  out.set_tier(static_cast<std::uint32_t>(in.tier));
  out.set_weight(in.weight);
  out.set_expected_tokens(in.expected_tokens);
  out.set_max_wait_ms(static_cast<std::uint32_t>(in.max_wait.count()));
  out.set_fingerprint(in.fingerprint);
  out.set_prefix(in.prefix);
  out.set_resumable(in.resumable);
  out.set_resumed(in.resumed);
  for (const auto& id : in.avoid) {
    out.add_avoid(id);
  }
}

slot ToSlot(const std::string& pool,
            const std::string& owner,
            const dispatch::granted& given) {
  slot out;
  out.request = given.grant.request.id;
  out.grant = given.grant.id;
  out.pool = pool;
  out.owner = owner;
  out.upstream = given.grant.upstream_id;
  out.address = given.address;
  return out;
}

std::string CrashName(const slot& held) {
  constexpr std::chrono::seconds kSameCrash{2};
  return held.upstream + "/" +
         std::to_string(Now().time_since_epoch() / kSameCrash);
}

}  // namespace
}  // namespace internal

pools::pools(control& state, peers& links, opentracing::Tracer& tracer)
    : state_(state), links_(links), tracer_(tracer) {
  links_.On(wire::envelope::kGrantRequest,
            [this](const auto& message) { TakeRequest(message); });
  links_.On(wire::envelope::kGrantReply,
            [this](const auto& message) { TakeGrantReply(message); });
  links_.On(wire::envelope::kGrantRelease,
            [this](const auto& message) { TakeRelease(message); });
  links_.On(wire::envelope::kGrantsInUse,
            [this](const auto& message) { TakeInUse(message); });
  links_.On(wire::envelope::kSuspicion,
            [this](const auto& message) { TakeSuspicion(message); });
  links_.On(wire::envelope::kGrantCancel, [this](const auto& message) {
    const auto& cancel = message.grant_cancel();
    dispatch::OnCancel(OwnedPool(cancel.pool()).pool, message.from(),
                       cancel.request());
    spans_.erase({message.from(), cancel.request()});
  });
  links_.On(wire::envelope::kGrantPreempt, [this](const auto& message) {
    Preempt(message.grant_preempt().request());
  });
}

void pools::Start() {
  asio::co_spawn(state_.io, TickLoop(), asio::detached);
  asio::co_spawn(state_.io, ReconcileLoop(), asio::detached);
  asio::co_spawn(state_.io, LoadLoop(), asio::detached);
}

pools::owned& pools::OwnedPool(const std::string& name) {
  auto& entry = owned_[name];
  if (entry.pool.name.empty()) {
    entry.pool.name = name;
    entry.data_centre = internal::CentreOf(name);
    UpdateOwned();
  }
  return entry;
}

void pools::UpdateOwned() {
  std::map<std::string, std::set<std::string>> listed;
  for (const auto& item : state_.vms) {
    if (item.role == infra::vm_role::entry) {
      continue;
    }
    const auto name = internal::PoolName(item);
    const auto found = owned_.find(name);
    if (found == owned_.end()) {
      continue;
    }
    if (item.state == infra::vm_state::live) {
      listed[name].insert(item.id);
    }
    dispatch::upstream known;
    known.id = item.id;
    known.address = item.address;
    known.slots = item.slots;
    known.cheaper = item.cheaper;
    known.leaving = item.state == infra::vm_state::leaving;
    dispatch::SetUpstream(found->second.pool, known);
  }
  for (auto& [name, entry] : owned_) {
    dispatch::RetainUpstreams(entry.pool, listed[name]);
  }
}

std::vector<pools::choice> pools::Choices(const std::string& name) const {
  std::set<std::string> centres;
  for (const auto& item : state_.vms) {
    if (item.pool == name && item.role != infra::vm_role::entry &&
        item.state == infra::vm_state::live) {
      centres.insert(item.data_centre);
    }
  }
  std::vector<dispatch::pool_choice> order;
  for (const auto& centre : centres) {
    const std::string pool = name + internal::kCentreMark + centre;
    dispatch::pool_choice item;
    item.pool = pool;
    item.local = centre == state_.settings.data_centre;
    const auto known = known_waits_.find(pool);
    if (known != known_waits_.end()) {
      item.wait = known->second;
    }
    order.push_back(item);
  }
  dispatch::OrderPools(order, internal::kLeavingCost);
  const auto candidates = Candidates(state_);
  std::vector<choice> out;
  for (const auto& item : order) {
    const auto centre = internal::CentreOf(item.pool);
    out.push_back({item.pool, centre,
                   ownership::OwnerNear(item.pool, centre, candidates)});
  }
  return out;
}

bool pools::IsKeyGood(const std::string& key_hash) const {
  if (key_hash.empty()) {
    return true;
  }
  const auto key = settings::FindKey(state_.replica.current, key_hash);
  return key && !key->withdrawn;
}

asio::awaitable<slot_result> pools::Acquire(
    slot_request wanted,
    std::shared_ptr<std::atomic<bool>> cancelled) {
  if (quarantine::IsCondemned(ward_, wanted.fingerprint)) {
    co_return slot_refusal{result_code::quarantined, {}};
  }
  auto& budget = retry_budgets_[wanted.class_name];
  if (!wanted.retry && !wanted.resumed) {
    answer::OnFirstAttempt(budget);
  } else if (wanted.retry && !answer::TryRetry(budget)) {
    co_return slot_refusal{result_code::retry_budget_spent,
                           options_.failure_pause};
  }
  const auto deadline = Now() + wanted.max_wait;
  while (true) {
    const auto outcome = co_await AcquireFromAny(wanted, deadline, cancelled);
    const auto* refused = std::get_if<slot_refusal>(&outcome);
    const bool again = refused && wanted.tier == 0 && !*cancelled &&
                       refused->code == result_code::no_upstream &&
                       Now() + internal::kTryAgainAfter < deadline;
    if (!again) {
      co_return outcome;
    }
    co_await Sleep(internal::kTryAgainAfter);
  }
}

asio::awaitable<slot_result> pools::AcquireFromAny(
    slot_request wanted,
    mono_time deadline,
    std::shared_ptr<std::atomic<bool>> cancelled) {
  slot_refusal best{result_code::no_upstream, options_.failure_pause};
  bool has_refusal = false;
  const auto choices = Choices(wanted.name);
  for (std::size_t i = 0; i < choices.size() && i < internal::kPoolsTried;
       ++i) {
    wanted.max_wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Now());
    auto outcome = co_await AcquireFrom(choices[i], wanted, cancelled);
    if (std::holds_alternative<slot>(outcome)) {
      known_waits_.erase(choices[i].pool);
      co_return outcome;
    }
    const auto refusal = std::get<slot_refusal>(outcome);
    known_waits_[choices[i].pool] = refusal.retry_after;
    if (!has_refusal || refusal.retry_after < best.retry_after) {
      best = refusal;
      has_refusal = true;
    }
    const bool final = refusal.code == result_code::key_withdrawn ||
                       refusal.code == result_code::quarantined;
    if (final || *cancelled || Now() >= deadline) {
      co_return refusal;
    }
  }
  co_return best;
}

asio::awaitable<slot_result> pools::AcquireFrom(
    choice target,
    slot_request wanted,
    std::shared_ptr<std::atomic<bool>> cancelled) {
  const auto number = next_request_++;
  const auto answer =
      std::make_shared<net::one_shot<slot_result>>(state_.io.get_executor());
  waits_[number] = {answer, wanted, target.pool};
  const auto give_up = Now() + wanted.max_wait + internal::kAnswerMargin;
  std::optional<slot_result> outcome;
  while (!outcome && Now() < give_up && !*cancelled) {
    wire::envelope message;
    internal::ToWire(wanted, target.pool, number,
                     *message.mutable_grant_request());
    message.set_traceparent(wanted.traceparent);
    if (target.owner == state_.settings.id) {
      message.set_from(state_.settings.id);
      TakeRequest(message);
    } else {
      links_.Notify(target.owner, std::move(message));
    }
    outcome = co_await answer->Wait(internal::kAskAgainAfter);
    const auto candidates = Candidates(state_);
    target.owner =
        ownership::OwnerNear(target.pool, target.data_centre, candidates);
  }
  waits_.erase(number);
  if (outcome) {
    co_return *outcome;
  }
  wire::envelope message;
  message.mutable_grant_cancel()->set_pool(target.pool);
  message.mutable_grant_cancel()->set_request(number);
  if (target.owner == state_.settings.id) {
    dispatch::OnCancel(OwnedPool(target.pool).pool, target.owner, number);
    spans_.erase({target.owner, number});
  } else {
    links_.Notify(target.owner, std::move(message));
  }
  co_return slot_refusal{result_code::owner_unreachable,
                         internal::kAskAgainAfter};
}

void pools::TakeRequest(const wire::envelope& call) {
  auto& entry = OwnedPool(call.grant_request().pool());
  auto wanted = internal::ToRequest(call.grant_request(), call.from());
  for (const auto& [unused, waiting] : entry.pool.waiting) {
    if (waiting.entry == wanted.entry && waiting.id == wanted.id) {
      return;
    }
  }
  for (const auto& [id, given] : entry.pool.grants) {
    if (given.request.entry == wanted.entry && given.request.id == wanted.id) {
      const auto& holder = entry.pool.upstreams.at(given.upstream_id);
      Perform(entry.pool.name,
              {dispatch::granted{given, holder.address, holder.cheaper}});
      return;
    }
  }
  if (quarantine::IsCondemned(ward_, wanted.fingerprint)) {
    Perform(entry.pool.name,
            {dispatch::refused{wanted, result_code::quarantined, {}}});
    return;
  }
  spans_[{wanted.entry, wanted.id}] =
      telemetry::StartSpan(tracer_, "pool.grant", call.traceparent());
  wanted.run_alone = !wanted.fingerprint.empty() &&
                     quarantine::MustRunAlone(ward_, wanted.fingerprint);
  Perform(entry.pool.name,
          dispatch::OnRequest(entry.pool, options_, wanted, Now()));
}

void pools::Perform(const std::string& pool,
                    const std::vector<dispatch::action>& actions) {
  for (const auto& action : actions) {
    if (const auto* given = std::get_if<dispatch::granted>(&action)) {
      AnswerEntry(given->grant.request.entry, pool, given->grant.request.id,
                  internal::ToSlot(pool, state_.settings.id, *given));
    } else if (const auto* refusal = std::get_if<dispatch::refused>(&action)) {
      state_.metrics.Count("mimosadeck_refusals_total", "class",
                           refusal->request.class_name);
      AnswerEntry(refusal->request.entry, pool, refusal->request.id,
                  slot_refusal{refusal->code, refusal->retry_after});
    } else if (const auto* victim = std::get_if<dispatch::preempt>(&action)) {
      const auto& work = victim->grant.request;
      state_.metrics.Count("mimosadeck_preemptions_total", "class",
                           work.class_name);
      if (work.entry == state_.settings.id) {
        Preempt(work.id);
      } else {
        wire::envelope message;
        message.mutable_grant_preempt()->set_request(work.id);
        links_.Notify(work.entry, std::move(message));
      }
    }
  }
}

void pools::AnswerEntry(const std::string& entry,
                        const std::string& pool,
                        std::uint64_t request,
                        const slot_result& answer) {
  spans_.erase({entry, request});
  if (entry == state_.settings.id) {
    AnswerLocal(request, answer);
    return;
  }
  wire::envelope message;
  auto* out = message.mutable_grant_reply();
  message.set_correlation(request);
  if (const auto* given = std::get_if<slot>(&answer)) {
    out->set_granted(true);
    out->set_grant(given->grant);
    out->set_upstream(given->upstream);
    out->set_address(given->address);
  } else {
    const auto& refusal = std::get<slot_refusal>(answer);
    out->set_code(static_cast<std::uint32_t>(refusal.code));
    out->set_retry_after_ms(
        static_cast<std::uint32_t>(refusal.retry_after.count()));
  }
  out->set_pool(pool);
  links_.Notify(entry, std::move(message));
}

void pools::TakeGrantReply(const wire::envelope& message) {
  const auto& in = message.grant_reply();
  if (!in.granted()) {
    AnswerLocal(message.correlation(),
                slot_refusal{static_cast<result_code>(in.code()),
                             std::chrono::milliseconds(in.retry_after_ms())});
    return;
  }
  slot given;
  given.request = message.correlation();
  given.grant = in.grant();
  given.pool = in.pool();
  given.owner = message.from();
  given.upstream = in.upstream();
  given.address = in.address();
  AnswerLocal(message.correlation(), given);
}

void pools::AnswerLocal(std::uint64_t request, const slot_result& answer) {
  const auto found = waits_.find(request);
  const auto* given = std::get_if<slot>(&answer);
  if (found == waits_.end()) {
    if (given && !held_.contains(request)) {
      Release(*given, {dispatch::ending::never_sent, 0});
    }
    return;
  }
  const auto wait = found->second;
  if (!given) {
    wait.answer->Set(answer);
    return;
  }
  if (!IsKeyGood(wait.wanted.key_hash)) {
    wait.answer->Set(slot_refusal{result_code::key_withdrawn, {}});
    Release(*given, {dispatch::ending::never_sent, 0});
    return;
  }
  slot taken = *given;
  taken.preempted = std::make_shared<std::atomic<bool>>(false);
  held_[request] = taken;
  held_fingerprints_[request] = wait.wanted.fingerprint;
  waits_.erase(found);
  wait.answer->Set(taken);
}

void pools::Release(const slot& held, slot_ending ending) {
  held_.erase(held.request);
  held_fingerprints_.erase(held.request);
  wire::envelope message;
  auto* out = message.mutable_grant_release();
  out->set_pool(held.pool);
  out->set_grant(held.grant);
  out->set_tokens(ending.tokens);
  out->set_ending(static_cast<std::uint32_t>(ending.how));
  if (held.owner == state_.settings.id) {
    TakeRelease(message);
  } else {
    links_.Notify(held.owner, std::move(message));
  }
}

void pools::TakeRelease(const wire::envelope& message) {
  const auto& in = message.grant_release();
  auto& entry = OwnedPool(in.pool());
  Perform(in.pool(),
          dispatch::OnRelease(entry.pool, options_, in.grant(),
                              static_cast<dispatch::ending>(in.ending()),
                              in.tokens(), Now()));
}

void pools::Preempt(std::uint64_t request) {
  const auto found = held_.find(request);
  if (found != held_.end()) {
    *found->second.preempted = true;
  }
}

void pools::OnConfiguration() {
  std::vector<std::shared_ptr<net::one_shot<slot_result>>> withdrawn;
  for (const auto& [unused, wait] : waits_) {
    if (!IsKeyGood(wait.wanted.key_hash)) {
      withdrawn.push_back(wait.answer);
    }
  }
  for (const auto& answer : withdrawn) {
    answer->Set(slot_refusal{result_code::key_withdrawn, {}});
  }
}

asio::awaitable<void> pools::TickLoop() {
  while (!state_.stopping) {
    UpdateOwned();
    for (auto& [name, entry] : owned_) {
      Perform(name, dispatch::Tick(entry.pool, options_, Now()));
    }
    quarantine::Tick(ward_, quarantine_options_, Now());
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<void> pools::ReconcileLoop() {
  while (!state_.stopping) {
    std::map<std::string, wire::envelope> messages;
    for (const auto& [id, unused] : state_.view.members) {
      messages[id].mutable_grants_in_use();
    }
    const auto candidates = Candidates(state_);
    for (auto& [request, held] : held_) {
      held.owner = ownership::OwnerNear(
          held.pool, internal::CentreOf(held.pool), candidates);
      auto* one = messages[held.owner].mutable_grants_in_use()->add_grants();
      one->set_pool(held.pool);
      one->set_grant(held.grant);
      one->set_upstream(held.upstream);
      one->set_fingerprint(held_fingerprints_[request]);
    }
    for (auto& [id, message] : messages) {
      if (id == state_.settings.id) {
        message.set_from(id);
        TakeInUse(message);
      } else if (!message.grants_in_use().grants().empty()) {
        links_.Notify(id, message);
      }
    }
    for (auto& [name, entry] : owned_) {
      for (const auto& [id, member] : state_.view.members) {
        if (id != state_.settings.id &&
            member.state == membership::member_state::dead) {
          Perform(name, dispatch::OnEntryGone(entry.pool, options_, id, Now()));
        }
      }
    }
    co_await Sleep(internal::kReconcileInterval);
  }
}

void pools::TakeInUse(const wire::envelope& message) {
  for (const auto& one : message.grants_in_use().grants()) {
    auto& entry = OwnedPool(one.pool());
    dispatch::grant given;
    given.id = one.grant();
    given.request.entry = message.from();
    given.request.fingerprint = one.fingerprint();
    given.upstream_id = one.upstream();
    given.granted_at = Now();
    dispatch::AdoptGrant(entry.pool, given);
  }
}

asio::awaitable<void> pools::LoadLoop() {
  while (!state_.stopping) {
    for (const auto& [name, entry] : owned_) {
      for (const auto& [id, item] : entry.pool.upstreams) {
        asio::co_spawn(state_.io, ReadLoad(name, id, item.address),
                       asio::detached);
      }
    }
    co_await Sleep(state_.settings.load_poll_interval);
  }
}

asio::awaitable<void> pools::ReadLoad(std::string pool,
                                      std::string upstream,
                                      std::string address) {
  net::http_request request;
  request.target = "/load";
  const auto outcome = co_await load_client_.Call(
      std::move(address), std::move(request), internal::kLoadLimits);
  const auto* response = std::get_if<net::http_response>(&outcome);
  if (!response) {
    co_return;
  }
  boost::system::error_code failure;
  const auto parsed = boost::json::parse(response->body, failure);
  const auto* object = failure ? nullptr : parsed.if_object();
  const auto* running = object ? object->if_contains("running") : nullptr;
  const auto* slots = object ? object->if_contains("slots") : nullptr;
  const auto found = owned_.find(pool);
  if (!running || !slots || found == owned_.end() || !running->is_int64() ||
      !slots->is_int64() || slots->as_int64() <= 0) {
    co_return;
  }
  dispatch::OnLoadReport(
      found->second.pool, upstream,
      running->to_number<double>() / slots->to_number<double>(), Now());
}

void pools::OnCrash(const slot& held, const std::string& fingerprint) {
  std::set<std::string> running;
  if (!fingerprint.empty()) {
    running.insert(fingerprint);
  }
  for (const auto& [request, other] : held_) {
    if (other.upstream == held.upstream &&
        !held_fingerprints_[request].empty()) {
      running.insert(held_fingerprints_[request]);
    }
  }
  const auto owner = owned_.find(held.pool);
  if (owner != owned_.end()) {
    for (const auto& [unused, given] : owner->second.pool.grants) {
      if (given.upstream_id == held.upstream &&
          !given.request.fingerprint.empty()) {
        running.insert(given.request.fingerprint);
      }
    }
  }
  ShareSuspicion(quarantine::OnCrash(
      ward_, quarantine_options_, internal::CrashName(held), running, Now()));
}

void pools::OnFinished(const std::string& fingerprint) {
  quarantine::OnFinished(ward_, fingerprint);
}

void pools::ShareSuspicion(const std::vector<std::string>& fingerprints) {
  if (fingerprints.empty()) {
    return;
  }
  wire::envelope message;
  for (const auto& fingerprint : fingerprints) {
    const auto& known = ward_.suspects.at(fingerprint);
    for (const auto& crash : known.crashes) {
      auto* one = message.mutable_suspicion()->add_suspects();
      one->set_fingerprint(fingerprint);
      one->set_crash(crash);
      one->set_alone(known.crashes_alone.contains(crash));
      one->set_condemned(known.condemned);
    }
  }
  for (const auto& [id, unused] : state_.view.members) {
    if (id != state_.settings.id) {
      links_.Notify(id, message);
    }
  }
}

void pools::TakeSuspicion(const wire::envelope& message) {
  for (const auto& one : message.suspicion().suspects()) {
    quarantine::suspect known;
    known.crashes.insert(one.crash());
    if (one.alone()) {
      known.crashes_alone.insert(one.crash());
    }
    known.condemned = one.condemned();
    known.crashed_at = Now();
    quarantine::Merge(ward_, quarantine_options_, one.fingerprint(), known,
                      Now());
  }
}

std::string pools::Describe() const {
  boost::json::array out;
  for (const auto& [name, entry] : owned_) {
    boost::json::array upstreams;
    for (const auto& [id, item] : entry.pool.upstreams) {
      upstreams.push_back(boost::json::object{{"id", id},
                                              {"slots", item.slots},
                                              {"in_flight", item.in_flight},
                                              {"cheaper", item.cheaper},
                                              {"leaving", item.leaving},
                                              {"failures", item.failures}});
    }
    out.push_back(boost::json::object{{"pool", name},
                                      {"waiting", entry.pool.waiting.size()},
                                      {"upstreams", std::move(upstreams)}});
  }
  return boost::json::serialize(out);
}

}  // namespace mimosadeck::daemon
