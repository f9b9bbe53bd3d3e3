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
constexpr std::chrono::milliseconds kRequestRetryInterval{300};
constexpr std::chrono::milliseconds kReplyMargin{500};
constexpr std::chrono::milliseconds kNoUpstreamRetryInterval{200};
constexpr std::chrono::milliseconds kCrossDataCentreCost{20};
constexpr std::size_t kMaxPoolsTried = 3;
constexpr char kPoolSeparator = '@';
constexpr net::call_limits kLoadTimeouts{std::chrono::milliseconds(300),
                                         std::chrono::milliseconds(500)};

std::string PoolName(const infra::vm& item) {
  return item.pool + kPoolSeparator + item.data_centre;
}

/**
 * @brief Lists the entries that may own pools: if all are leaving, those that
 * have not left yet, since requests in progress still need upstreams.
 */
std::vector<ownership::candidate> PoolOwnerCandidates(
    const control_state& state) {
  auto out = OwnerCandidates(state);
  if (!out.empty()) {
    return out;
  }
  for (const auto& [id, member] : state.view.members) {
    if (member.leaving && member.state == membership::member_state::alive) {
      out.push_back({id, member.data_centre});
    }
  }
  return out;
}

std::string DataCentreOf(const std::string& pool) {
  return pool.substr(pool.find(kPoolSeparator) + 1);
}

dispatch::request FromWire(const wire::grant_request& in,
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
            const dispatch::granted& granted) {
  slot out;
  out.request = granted.grant.request.id;
  out.grant = granted.grant.id;
  out.pool = pool;
  out.owner = owner;
  out.upstream = granted.grant.upstream_id;
  out.address = granted.address;
  return out;
}

std::string CrashId(const slot& held) {
  constexpr std::chrono::seconds kSameCrashWindow{2};
  return held.upstream + "/" +
         std::to_string(Now().time_since_epoch() / kSameCrashWindow);
}

}  // namespace
}  // namespace internal

pools::pools(control_state& state, peers& peers, opentracing::Tracer& tracer)
    : state_(state), peers_(peers), tracer_(tracer) {
  peers_.SetHandler(wire::envelope::kGrantRequest,
                    [this](const auto& message) { OnGrantRequest(message); });
  peers_.SetHandler(wire::envelope::kGrantReply,
                    [this](const auto& message) { OnGrantReply(message); });
  peers_.SetHandler(wire::envelope::kGrantRelease,
                    [this](const auto& message) { OnGrantRelease(message); });
  peers_.SetHandler(wire::envelope::kGrantsInUse,
                    [this](const auto& message) { OnGrantsInUse(message); });
  peers_.SetHandler(wire::envelope::kSuspicion,
                    [this](const auto& message) { OnSuspicion(message); });
  peers_.SetHandler(wire::envelope::kGrantCancel, [this](const auto& message) {
    const auto& cancel = message.grant_cancel();
    dispatch::OnCancel(FindOrAddOwned(cancel.pool()).pool, message.from(),
                       cancel.request());
    spans_.erase({message.from(), cancel.request()});
  });
  peers_.SetHandler(wire::envelope::kGrantPreempt, [this](const auto& message) {
    Preempt(message.grant_preempt().request());
  });
}

void pools::Start() {
  asio::co_spawn(state_.io, TickLoop(), asio::detached);
  asio::co_spawn(state_.io, ReconcileLoop(), asio::detached);
  asio::co_spawn(state_.io, PollLoadLoop(), asio::detached);
}

pools::owned_pool& pools::FindOrAddOwned(const std::string& name) {
  auto& owned = owned_[name];
  if (owned.pool.name.empty()) {
    owned.pool.name = name;
    owned.data_centre = internal::DataCentreOf(name);
    UpdateOwned();
  }
  return owned;
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
    dispatch::upstream upstream;
    upstream.id = item.id;
    upstream.address = item.address;
    upstream.slots = item.slots;
    upstream.cheaper = item.cheaper;
    upstream.leaving = item.state == infra::vm_state::leaving;
    dispatch::SetUpstream(found->second.pool, upstream);
  }
  for (auto& [name, owned] : owned_) {
    dispatch::RetainUpstreams(owned.pool, listed[name]);
  }
}

std::vector<pools::pool_owner> pools::RankPools(const std::string& name) const {
  std::set<std::string> data_centres;
  for (const auto& item : state_.vms) {
    if (item.pool == name && item.role != infra::vm_role::entry &&
        item.state == infra::vm_state::live) {
      data_centres.insert(item.data_centre);
    }
  }
  std::vector<dispatch::pool_choice> order;
  for (const auto& data_centre : data_centres) {
    const std::string pool = name + internal::kPoolSeparator + data_centre;
    dispatch::pool_choice item;
    item.pool = pool;
    item.local = data_centre == state_.settings.data_centre;
    const auto wait = reported_waits_.find(pool);
    if (wait != reported_waits_.end()) {
      item.wait = wait->second;
    }
    order.push_back(item);
  }
  dispatch::OrderPools(order, internal::kCrossDataCentreCost);
  const auto candidates = internal::PoolOwnerCandidates(state_);
  std::vector<pool_owner> out;
  for (const auto& item : order) {
    const auto data_centre = internal::DataCentreOf(item.pool);
    out.push_back({item.pool, data_centre,
                   ownership::OwnerNear(item.pool, data_centre, candidates)});
  }
  return out;
}

bool pools::IsKeyValid(const std::string& key_hash) const {
  if (key_hash.empty()) {
    return true;
  }
  const auto key = settings::FindKey(state_.replica.current, key_hash);
  return key && !key->withdrawn;
}

asio::awaitable<slot_result> pools::Acquire(
    slot_request wanted,
    std::shared_ptr<std::atomic<bool>> cancelled) {
  if (quarantine::IsCondemned(quarantine_, wanted.fingerprint)) {
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
                       Now() + internal::kNoUpstreamRetryInterval < deadline;
    if (!again) {
      co_return outcome;
    }
    co_await Sleep(internal::kNoUpstreamRetryInterval);
  }
}

asio::awaitable<slot_result> pools::AcquireFromAny(
    slot_request wanted,
    mono_time deadline,
    std::shared_ptr<std::atomic<bool>> cancelled) {
  slot_refusal best{result_code::no_upstream, options_.failure_pause};
  bool has_refusal = false;
  const auto ranked = RankPools(wanted.name);
  for (std::size_t i = 0; i < ranked.size() && i < internal::kMaxPoolsTried;
       ++i) {
    wanted.max_wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Now());
    auto outcome = co_await AcquireFrom(ranked[i], wanted, cancelled);
    if (std::holds_alternative<slot>(outcome)) {
      reported_waits_.erase(ranked[i].pool);
      co_return outcome;
    }
    const auto refusal = std::get<slot_refusal>(outcome);
    reported_waits_[ranked[i].pool] = refusal.retry_after;
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
    pool_owner target,
    slot_request wanted,
    std::shared_ptr<std::atomic<bool>> cancelled) {
  const auto request = next_request_++;
  const auto answer =
      std::make_shared<net::one_shot<slot_result>>(state_.io.get_executor());
  pending_[request] = {answer, wanted, target.pool};
  const auto deadline = Now() + wanted.max_wait + internal::kReplyMargin;
  std::optional<slot_result> outcome;
  while (!outcome && Now() < deadline && !*cancelled) {
    wire::envelope message;
    internal::ToWire(wanted, target.pool, request,
                     *message.mutable_grant_request());
    message.set_traceparent(wanted.traceparent);
    if (target.owner == state_.settings.id) {
      message.set_from(state_.settings.id);
      OnGrantRequest(message);
    } else {
      peers_.Notify(target.owner, std::move(message));
    }
    outcome = co_await answer->Wait(internal::kRequestRetryInterval);
    const auto candidates = internal::PoolOwnerCandidates(state_);
    target.owner =
        ownership::OwnerNear(target.pool, target.data_centre, candidates);
  }
  pending_.erase(request);
  if (outcome) {
    co_return *outcome;
  }
  wire::envelope message;
  message.mutable_grant_cancel()->set_pool(target.pool);
  message.mutable_grant_cancel()->set_request(request);
  if (target.owner == state_.settings.id) {
    dispatch::OnCancel(FindOrAddOwned(target.pool).pool, target.owner, request);
    spans_.erase({target.owner, request});
  } else {
    peers_.Notify(target.owner, std::move(message));
  }
  co_return slot_refusal{result_code::owner_unreachable,
                         internal::kRequestRetryInterval};
}

void pools::OnGrantRequest(const wire::envelope& call) {
  auto& owned = FindOrAddOwned(call.grant_request().pool());
  auto wanted = internal::FromWire(call.grant_request(), call.from());
  for (const auto& [unused, waiting] : owned.pool.waiting) {
    if (waiting.entry == wanted.entry && waiting.id == wanted.id) {
      return;
    }
  }
  for (const auto& [id, grant] : owned.pool.grants) {
    if (grant.request.entry == wanted.entry && grant.request.id == wanted.id) {
      const auto& holder = owned.pool.upstreams.at(grant.upstream_id);
      Perform(owned.pool.name,
              {dispatch::granted{grant, holder.address, holder.cheaper}});
      return;
    }
  }
  if (quarantine::IsCondemned(quarantine_, wanted.fingerprint)) {
    Perform(owned.pool.name,
            {dispatch::refused{wanted, result_code::quarantined, {}}});
    return;
  }
  spans_[{wanted.entry, wanted.id}] =
      telemetry::StartSpan(tracer_, "pool.grant", call.traceparent());
  wanted.run_alone = !wanted.fingerprint.empty() &&
                     quarantine::MustRunAlone(quarantine_, wanted.fingerprint);
  Perform(owned.pool.name,
          dispatch::OnRequest(owned.pool, options_, wanted, Now()));
}

void pools::Perform(const std::string& pool,
                    const std::vector<dispatch::action>& actions) {
  for (const auto& action : actions) {
    if (const auto* granted = std::get_if<dispatch::granted>(&action)) {
      SendResult(granted->grant.request.entry, pool, granted->grant.request.id,
                 internal::ToSlot(pool, state_.settings.id, *granted));
    } else if (const auto* refusal = std::get_if<dispatch::refused>(&action)) {
      state_.metrics.Count("mimosadeck_refusals_total", "class",
                           refusal->request.class_name);
      SendResult(refusal->request.entry, pool, refusal->request.id,
                 slot_refusal{refusal->code, refusal->retry_after});
    } else if (const auto* preempt = std::get_if<dispatch::preempt>(&action)) {
      const auto& work = preempt->grant.request;
      state_.metrics.Count("mimosadeck_preemptions_total", "class",
                           work.class_name);
      if (work.entry == state_.settings.id) {
        Preempt(work.id);
      } else {
        wire::envelope message;
        message.mutable_grant_preempt()->set_request(work.id);
        peers_.Notify(work.entry, std::move(message));
      }
    }
  }
}

void pools::SendResult(const std::string& entry,
                       const std::string& pool,
                       std::uint64_t request,
                       const slot_result& answer) {
  spans_.erase({entry, request});
  if (entry == state_.settings.id) {
    CompleteWait(request, answer);
    return;
  }
  wire::envelope message;
  auto* out = message.mutable_grant_reply();
  message.set_correlation(request);
  if (const auto* granted = std::get_if<slot>(&answer)) {
    out->set_granted(true);
    out->set_grant(granted->grant);
    out->set_upstream(granted->upstream);
    out->set_address(granted->address);
  } else {
    const auto& refusal = std::get<slot_refusal>(answer);
    out->set_code(static_cast<std::uint32_t>(refusal.code));
    out->set_retry_after_ms(
        static_cast<std::uint32_t>(refusal.retry_after.count()));
  }
  out->set_pool(pool);
  peers_.Notify(entry, std::move(message));
}

void pools::OnGrantReply(const wire::envelope& message) {
  const auto& in = message.grant_reply();
  if (!in.granted()) {
    CompleteWait(message.correlation(),
                 slot_refusal{static_cast<result_code>(in.code()),
                              std::chrono::milliseconds(in.retry_after_ms())});
    return;
  }
  slot granted;
  granted.request = message.correlation();
  granted.grant = in.grant();
  granted.pool = in.pool();
  granted.owner = message.from();
  granted.upstream = in.upstream();
  granted.address = in.address();
  CompleteWait(message.correlation(), granted);
}

void pools::CompleteWait(std::uint64_t request, const slot_result& answer) {
  const auto found = pending_.find(request);
  const auto* granted = std::get_if<slot>(&answer);
  if (found == pending_.end()) {
    if (granted && !held_.contains(request)) {
      Release(*granted, {dispatch::ending::never_sent, 0});
    }
    return;
  }
  const auto wait = found->second;
  if (!granted) {
    wait.answer->Set(answer);
    return;
  }
  if (!IsKeyValid(wait.wanted.key_hash)) {
    wait.answer->Set(slot_refusal{result_code::key_withdrawn, {}});
    Release(*granted, {dispatch::ending::never_sent, 0});
    return;
  }
  slot acquired = *granted;
  acquired.preempted = std::make_shared<std::atomic<bool>>(false);
  held_[request] = acquired;
  held_fingerprints_[request] = wait.wanted.fingerprint;
  pending_.erase(found);
  wait.answer->Set(acquired);
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
    OnGrantRelease(message);
  } else {
    peers_.Notify(held.owner, std::move(message));
  }
}

void pools::OnGrantRelease(const wire::envelope& message) {
  const auto& in = message.grant_release();
  auto& owned = FindOrAddOwned(in.pool());
  Perform(in.pool(),
          dispatch::OnRelease(owned.pool, options_, in.grant(),
                              static_cast<dispatch::ending>(in.ending()),
                              in.tokens(), Now()));
}

void pools::Preempt(std::uint64_t request) {
  const auto found = held_.find(request);
  if (found != held_.end()) {
    *found->second.preempted = true;
  }
}

void pools::OnConfigChange() {
  std::vector<std::shared_ptr<net::one_shot<slot_result>>> withdrawn;
  for (const auto& [unused, wait] : pending_) {
    if (!IsKeyValid(wait.wanted.key_hash)) {
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
    for (auto& [name, owned] : owned_) {
      Perform(name, dispatch::Tick(owned.pool, options_, Now()));
    }
    quarantine::Tick(quarantine_, quarantine_options_, Now());
    co_await Sleep(internal::kTickInterval);
  }
}

asio::awaitable<void> pools::ReconcileLoop() {
  while (!state_.stopping) {
    std::map<std::string, wire::envelope> messages;
    for (const auto& [id, unused] : state_.view.members) {
      messages[id].mutable_grants_in_use();
    }
    const auto candidates = internal::PoolOwnerCandidates(state_);
    for (auto& [request, held] : held_) {
      held.owner = ownership::OwnerNear(
          held.pool, internal::DataCentreOf(held.pool), candidates);
      auto* grant = messages[held.owner].mutable_grants_in_use()->add_grants();
      grant->set_pool(held.pool);
      grant->set_grant(held.grant);
      grant->set_upstream(held.upstream);
      grant->set_fingerprint(held_fingerprints_[request]);
    }
    for (auto& [id, message] : messages) {
      if (id == state_.settings.id) {
        message.set_from(id);
        OnGrantsInUse(message);
      } else if (!message.grants_in_use().grants().empty()) {
        peers_.Notify(id, message);
      }
    }
    for (auto& [name, owned] : owned_) {
      for (const auto& [id, member] : state_.view.members) {
        if (id != state_.settings.id &&
            member.state == membership::member_state::dead) {
          Perform(name, dispatch::OnEntryGone(owned.pool, options_, id, Now()));
        }
      }
    }
    co_await Sleep(internal::kReconcileInterval);
  }
}

void pools::OnGrantsInUse(const wire::envelope& message) {
  for (const auto& grant : message.grants_in_use().grants()) {
    auto& owned = FindOrAddOwned(grant.pool());
    dispatch::grant granted;
    granted.id = grant.grant();
    granted.request.entry = message.from();
    granted.request.fingerprint = grant.fingerprint();
    granted.upstream_id = grant.upstream();
    granted.granted_at = Now();
    dispatch::AdoptGrant(owned.pool, granted);
  }
}

asio::awaitable<void> pools::PollLoadLoop() {
  while (!state_.stopping) {
    for (const auto& [name, owned] : owned_) {
      for (const auto& [id, item] : owned.pool.upstreams) {
        asio::co_spawn(state_.io, PollLoad(name, id, item.address),
                       asio::detached);
      }
    }
    co_await Sleep(state_.settings.load_poll_interval);
  }
}

asio::awaitable<void> pools::PollLoad(std::string pool,
                                      std::string upstream,
                                      std::string address) {
  net::http_request request;
  request.target = "/load";
  const auto outcome = co_await load_client_.Call(
      std::move(address), std::move(request), internal::kLoadTimeouts);
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
    for (const auto& [unused, granted] : owner->second.pool.grants) {
      if (granted.upstream_id == held.upstream &&
          !granted.request.fingerprint.empty()) {
        running.insert(granted.request.fingerprint);
      }
    }
  }
  SendSuspicion(quarantine::OnCrash(quarantine_, quarantine_options_,
                                    internal::CrashId(held), running, Now()));
}

void pools::OnFinished(const std::string& fingerprint) {
  quarantine::OnFinished(quarantine_, fingerprint);
}

void pools::SendSuspicion(const std::vector<std::string>& fingerprints) {
  if (fingerprints.empty()) {
    return;
  }
  wire::envelope message;
  for (const auto& fingerprint : fingerprints) {
    const auto& suspect = quarantine_.suspects.at(fingerprint);
    for (const auto& crash : suspect.crashes) {
      auto* out = message.mutable_suspicion()->add_suspects();
      out->set_fingerprint(fingerprint);
      out->set_crash(crash);
      out->set_alone(suspect.crashes_alone.contains(crash));
      out->set_condemned(suspect.condemned);
    }
  }
  for (const auto& [id, unused] : state_.view.members) {
    if (id != state_.settings.id) {
      peers_.Notify(id, message);
    }
  }
}

void pools::OnSuspicion(const wire::envelope& message) {
  for (const auto& in : message.suspicion().suspects()) {
    quarantine::suspect suspect;
    suspect.crashes.insert(in.crash());
    if (in.alone()) {
      suspect.crashes_alone.insert(in.crash());
    }
    suspect.condemned = in.condemned();
    suspect.crashed_at = Now();
    quarantine::Merge(quarantine_, quarantine_options_, in.fingerprint(),
                      suspect, Now());
  }
}

std::string pools::Describe() const {
  boost::json::array out;
  for (const auto& [name, owned] : owned_) {
    boost::json::array upstreams;
    for (const auto& [id, item] : owned.pool.upstreams) {
      upstreams.push_back(boost::json::object{{"id", id},
                                              {"slots", item.slots},
                                              {"in_flight", item.in_flight},
                                              {"cheaper", item.cheaper},
                                              {"leaving", item.leaving},
                                              {"failures", item.failures}});
    }
    out.push_back(boost::json::object{{"pool", name},
                                      {"waiting", owned.pool.waiting.size()},
                                      {"upstreams", std::move(upstreams)}});
  }
  return boost::json::serialize(out);
}

}  // namespace mimosadeck::daemon
