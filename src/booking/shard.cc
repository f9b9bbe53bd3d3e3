#include "booking/shard.h"

#include <algorithm>

namespace mimosadeck::booking {
namespace internal {
namespace {

action Ask(shard& state, infra::request request) {
  state.awaits_store = true;
  return store_request{std::move(request)};
}

infra::commit CommitRow(shard& state, const shard_row& next) {
  state.proposed = next;
  infra::commit out;
  out.conditions.push_back({ShardRowKey(state.number), state.row_version});
  out.writes.push_back({ShardRowKey(state.number), EncodeShardRow(next)});
  return out;
}

action ReadRow(shard& state) {
  state.phase = shard_phase::reading;
  return Ask(state, infra::read_row{ShardRowKey(state.number)});
}

void FailPending(shard& state, std::vector<action>& out) {
  for (const auto& item : state.pending) {
    out.push_back(claim_answer{item.ticket, claim_outcome::refused, {}});
  }
  state.pending.clear();
}

void StepDown(shard& state, std::vector<action>& out) {
  FailPending(state, out);
  state.phase = shard_phase::idle;
  state.records.clear();
  state.unsaved.clear();
  state.saving.clear();
  state.proposed.reset();
  state.wants_holders = false;
  state.verifies_row = false;
}

bool MayTake(const shard& state, const departed_predicate& departed) {
  const auto& owner = state.row.owner;
  return owner.empty() || owner == state.self || state.row.released ||
         departed(owner);
}

/** @brief Proposes this entry as owner in a new epoch. */
std::vector<action> ProposeTakeOver(shard& state) {
  shard_row next;
  next.owner = state.self;
  next.epoch = state.row.epoch + 1;
  next.holders = state.holders_wanted;
  if (state.row.recovering) {
    next.former = state.row.former;
    next.former_epoch = state.row.former_epoch;
  } else if (!state.row.released) {
    next.former = state.row.holders;
    next.former_epoch = state.row.epoch;
  }
  next.recovering = true;
  next.uncertain = state.row.uncertain;
  state.phase = shard_phase::taking;
  return {Ask(state, CommitRow(state, next))};
}

std::vector<action> OnRowRead(shard& state,
                              const infra::reply& reply,
                              const departed_predicate& departed) {
  state.row = {};
  state.row_version = 0;
  if (const auto* found = std::get_if<infra::row_found>(&reply)) {
    const auto decoded = DecodeShardRow(found->found.value);
    if (!decoded) {
      state.phase = shard_phase::idle;
      return {};
    }
    state.row = *decoded;
    state.row_version = found->found.version;
  } else if (!std::holds_alternative<infra::row_absent>(reply)) {
    state.phase = shard_phase::idle;
    return {};
  }
  if (!MayTake(state, departed)) {
    state.phase = shard_phase::idle;
    return {};
  }
  return ProposeTakeOver(state);
}

action ScanNext(shard& state, const options& settings) {
  return Ask(state,
             infra::scan_rows{RecordPrefix(state.number), state.scan_after,
                              settings.records_per_scan});
}

std::vector<action> StartCollecting(shard& state,
                                    const options& settings,
                                    mono_time now) {
  state.phase = shard_phase::collecting;
  state.collecting_since = now;
  state.collected_from.clear();
  state.readable = false;
  state.scan_after = RecordPrefix(state.number);
  state.records.clear();
  state.unsaved.clear();
  std::vector<action> out;
  for (const auto& holder : state.row.former) {
    out.push_back(
        fetch_copies{holder, state.row.former_epoch, state.row.epoch});
  }
  out.push_back(ScanNext(state, settings));
  return out;
}

bool HasCollectedEnough(const shard& state,
                        const options& settings,
                        mono_time now) {
  const bool all = std::all_of(
      state.row.former.begin(), state.row.former.end(),
      [&](const auto& id) { return state.collected_from.contains(id); });
  if (all) {
    return true;
  }
  return now - state.collecting_since >= settings.fetch_timeout;
}

/** @brief Saves what was collected and opens the shard in one transaction. */
std::vector<action> Activate(shard& state) {
  shard_row next = state.row;
  next.recovering = false;
  next.former.clear();
  next.former_epoch = 0;
  if (!state.row.former.empty() && state.collected_from.empty()) {
    next.uncertain = true;
  }
  auto request = CommitRow(state, next);
  state.saving.clear();
  for (const auto& key : state.unsaved) {
    const auto& item = state.records.at(key);
    state.saving[key] = item;
    request.writes.push_back(
        {RecordPrefix(state.number) + key, EncodeRecord(item)});
  }
  state.phase = shard_phase::activating;
  return {Ask(state, std::move(request))};
}

std::vector<action> MaybeActivate(shard& state,
                                  const options& settings,
                                  mono_time now) {
  if (state.phase != shard_phase::collecting || state.awaits_store ||
      !state.readable || !HasCollectedEnough(state, settings, now)) {
    return {};
  }
  return Activate(state);
}

std::vector<action> OnScanned(shard& state,
                              const options& settings,
                              const infra::reply& reply,
                              mono_time now) {
  const auto* page = std::get_if<infra::rows_page>(&reply);
  if (!page) {
    state.next_store = now + settings.retry_interval;
    return {};
  }
  for (const auto& row : page->rows) {
    state.scan_after = row.key;
    const auto decoded = DecodeRecord(row.value);
    if (!decoded) {
      continue;
    }
    const auto known = state.records.find(decoded->key);
    if (known == state.records.end() || decoded->state > known->second.state) {
      state.records[decoded->key] = *decoded;
    }
  }
  if (page->more) {
    return {ScanNext(state, settings)};
  }
  state.readable = true;
  return MaybeActivate(state, settings, now);
}

void AnswerGranted(shard& state,
                   const pending_claim& item,
                   std::vector<action>& out) {
  const auto found = state.records.find(item.key);
  const bool valid =
      found != state.records.end() && found->second.nonce == item.nonce;
  out.push_back(
      claim_answer{item.ticket,
                   valid ? claim_outcome::granted : claim_outcome::refused,
                   {}});
}

/** @brief Marks what a commit saved, and grants the claims among it. */
void FinishSaving(shard& state, std::vector<action>& out) {
  std::vector<std::string> saved;
  for (const auto& [key, item] : state.saving) {
    const auto found = state.records.find(key);
    const bool unchanged = found == state.records.end() ? item.nonce.empty()
                                                        : found->second == item;
    if (unchanged) {
      state.unsaved.erase(key);
      saved.push_back(key);
    }
  }
  std::erase_if(state.pending, [&](const pending_claim& item) {
    const auto found = state.saving.find(item.key);
    if (found == state.saving.end() || found->second.nonce != item.nonce) {
      return false;
    }
    AnswerGranted(state, item, out);
    return true;
  });
  state.saving.clear();
  if (saved.empty()) {
    return;
  }
  for (const auto& holder : state.row.holders) {
    out.push_back(send_copies{holder, state.row.epoch, 0, {}, saved});
  }
}

void SettleRow(shard& state, shard_row row, std::uint64_t version) {
  state.row_version = version;
  state.row = std::move(row);
  state.proposed.reset();
  if (state.wants_holders && state.row.holders == state.holders_wanted) {
    state.wants_holders = false;
  }
}

std::vector<action> OnCommitted(shard& state,
                                const options& settings,
                                mono_time now) {
  std::vector<action> out;
  if (state.phase == shard_phase::taking) {
    return StartCollecting(state, settings, now);
  }
  if (state.row.released) {
    StepDown(state, out);
    return out;
  }
  state.phase = shard_phase::active;
  FinishSaving(state, out);
  return out;
}

/** @brief Finds out what became of a commit whose reply was no clear word. */
std::vector<action> OnRowVerified(shard& state,
                                  const options& settings,
                                  const infra::reply& reply,
                                  mono_time now) {
  std::vector<action> out;
  const auto* found = std::get_if<infra::row_found>(&reply);
  if (!found) {
    if (std::holds_alternative<infra::row_absent>(reply)) {
      StepDown(state, out);
    }
    state.next_store = now + settings.retry_interval;
    return out;
  }
  state.verifies_row = false;
  const auto row = DecodeShardRow(found->found.value);
  const bool own =
      row && row->owner == state.self && row->epoch == state.row.epoch;
  if (!own) {
    StepDown(state, out);
    return out;
  }
  if (found->found.version == state.row_version) {
    return out;
  }
  SettleRow(state, *row, found->found.version);
  return OnCommitted(state, settings, now);
}

std::vector<action> OnCommitReply(shard& state,
                                  const options& settings,
                                  const infra::reply& reply,
                                  mono_time now) {
  if (const auto* done = std::get_if<infra::committed>(&reply)) {
    SettleRow(state, *state.proposed, done->version);
    return OnCommitted(state, settings, now);
  }
  if (std::holds_alternative<infra::unavailable>(reply)) {
    state.next_store = now + settings.retry_interval;
    return {};
  }
  if (state.phase == shard_phase::active) {
    state.verifies_row = true;
    return {};
  }
  std::vector<action> out;
  if (std::holds_alternative<infra::conflict>(reply)) {
    StepDown(state, out);
  }
  state.next_store = now + settings.retry_interval;
  return out;
}

/** @brief Present holders, and those to come while a change is under way. */
std::set<std::string> AllHolders(const shard& state) {
  std::set<std::string> out(state.row.holders.begin(), state.row.holders.end());
  if (state.wants_holders) {
    out.insert(state.holders_wanted.begin(), state.holders_wanted.end());
  }
  return out;
}

std::vector<action> CopyToHolders(shard& state,
                                  const std::vector<record>& records,
                                  std::uint64_t sequence) {
  std::vector<action> out;
  for (const auto& holder : AllHolders(state)) {
    out.push_back(send_copies{holder, state.row.epoch, sequence, records, {}});
  }
  return out;
}

bool HasGivenUp(const shard& state, const std::string& nonce) {
  return std::find(state.given_up.begin(), state.given_up.end(), nonce) !=
         state.given_up.end();
}

void RememberGivenUp(shard& state, const std::string& nonce) {
  constexpr std::size_t kRemembered = 256;
  state.given_up.push_back(nonce);
  if (state.given_up.size() > kRemembered) {
    state.given_up.pop_front();
  }
}

claim_outcome OutcomeOf(const record& known,
                        const record& wanted,
                        const departed_predicate& departed) {
  if (known.digest != wanted.digest) {
    return claim_outcome::key_reused;
  }
  switch (known.state) {
    case record_state::done:
      return claim_outcome::answered;
    case record_state::outcome_unknown:
      return claim_outcome::unknown;
    case record_state::claimed:
      break;
  }
  return departed(known.executor) ? claim_outcome::unknown
                                  : claim_outcome::in_progress;
}

std::vector<action> EndLateClaims(shard& state, mono_time now) {
  std::vector<action> out;
  std::erase_if(state.pending, [&](const pending_claim& item) {
    if (now < item.deadline) {
      return false;
    }
    out.push_back(claim_answer{item.ticket, claim_outcome::refused, {}});
    const auto found = state.records.find(item.key);
    if (found != state.records.end() && found->second.nonce == item.nonce) {
      state.records.erase(found);
      state.unsaved.insert(item.key);
    }
    return true;
  });
  return out;
}

/** @brief Commits unsaved records and a changed row, one request at a time. */
std::vector<action> SaveNext(shard& state, const options& settings) {
  shard_row next = state.row;
  if (state.wants_holders &&
      std::all_of(state.holders_wanted.begin(), state.holders_wanted.end(),
                  [&](const auto& id) {
                    return state.new_holders_ready.contains(id);
                  })) {
    next.holders = state.holders_wanted;
  }
  const bool row_changes = next.holders != state.row.holders;
  if (state.unsaved.empty() && !row_changes && !state.wants_release) {
    return {};
  }
  std::vector<infra::write> writes;
  state.saving.clear();
  for (const auto& key : state.unsaved) {
    if (writes.size() >= settings.records_per_commit) {
      break;
    }
    const auto found = state.records.find(key);
    const std::string row_key = RecordPrefix(state.number) + key;
    if (found == state.records.end()) {
      record gone;
      gone.key = key;
      state.saving[key] = gone;
      writes.push_back({row_key, std::nullopt});
    } else {
      state.saving[key] = found->second;
      writes.push_back({row_key, EncodeRecord(found->second)});
    }
  }
  const bool all = writes.size() == state.unsaved.size();
  if (state.wants_release && all && state.pending.empty()) {
    next.released = true;
    next.holders.clear();
  }
  auto request = CommitRow(state, next);
  request.writes.insert(request.writes.end(), writes.begin(), writes.end());
  return {Ask(state, std::move(request))};
}

}  // namespace
}  // namespace internal

std::vector<action> TakeOver(shard& state,
                             const std::vector<std::string>& holders,
                             mono_time now) {
  if (state.phase != shard_phase::idle || state.awaits_store ||
      now < state.next_store || state.wants_release) {
    return {};
  }
  state.holders_wanted = holders;
  return {internal::ReadRow(state)};
}

std::vector<action> OnStoreReply(shard& state,
                                 const options& settings,
                                 const infra::reply& reply,
                                 const departed_predicate& departed,
                                 mono_time now) {
  if (!state.awaits_store) {
    return {};
  }
  state.awaits_store = false;
  if (state.verifies_row) {
    return internal::OnRowVerified(state, settings, reply, now);
  }
  switch (state.phase) {
    case shard_phase::reading:
      state.next_store = now + settings.retry_interval;
      return internal::OnRowRead(state, reply, departed);
    case shard_phase::collecting:
      return internal::OnScanned(state, settings, reply, now);
    case shard_phase::taking:
    case shard_phase::activating:
    case shard_phase::active:
      return internal::OnCommitReply(state, settings, reply, now);
    case shard_phase::idle:
      break;
  }
  return {};
}

std::vector<action> OnCopyReply(shard& state,
                                const std::string& holder,
                                std::uint64_t epoch,
                                std::uint64_t sequence,
                                bool accepted) {
  std::vector<action> out;
  if (epoch != state.row.epoch || state.phase != shard_phase::active) {
    return out;
  }
  if (!accepted) {
    internal::StepDown(state, out);
    return out;
  }
  if (state.wants_holders && sequence == state.handover_sequence) {
    state.new_holders_ready.insert(holder);
    return out;
  }
  const auto holders = internal::AllHolders(state);
  std::erase_if(state.pending, [&](pending_claim& item) {
    if (item.sequence != sequence) {
      return false;
    }
    item.acknowledged.insert(holder);
    const bool durable =
        !state.row.holders.empty() &&
        std::includes(item.acknowledged.begin(), item.acknowledged.end(),
                      holders.begin(), holders.end());
    if (durable) {
      internal::AnswerGranted(state, item, out);
    }
    return durable;
  });
  return out;
}

std::vector<action> OnFetchReply(shard& state,
                                 const options& settings,
                                 const std::string& holder,
                                 const std::vector<record>& records,
                                 mono_time now) {
  if (state.phase != shard_phase::collecting) {
    return {};
  }
  state.collected_from.insert(holder);
  for (const auto& item : records) {
    auto& known = state.records[item.key];
    if (known.key.empty() || item.state >= known.state) {
      known = item;
      state.unsaved.insert(item.key);
    }
  }
  return internal::MaybeActivate(state, settings, now);
}

std::vector<action> OnClaim(shard& state,
                            const options& settings,
                            const record& wanted,
                            const departed_predicate& departed,
                            mono_time now,
                            std::uint64_t& ticket) {
  ticket = state.next_ticket++;
  if (state.phase != shard_phase::active || state.wants_release ||
      internal::HasGivenUp(state, wanted.nonce)) {
    return {claim_answer{ticket, claim_outcome::refused, {}}};
  }
  const auto known = state.records.find(wanted.key);
  if (known != state.records.end()) {
    return {claim_answer{ticket,
                         internal::OutcomeOf(known->second, wanted, departed),
                         known->second.answer}};
  }
  if (state.row.uncertain) {
    return {claim_answer{ticket, claim_outcome::unknown, {}}};
  }
  record claimed = wanted;
  claimed.state = record_state::claimed;
  state.records[claimed.key] = claimed;
  state.unsaved.insert(claimed.key);
  pending_claim item;
  item.ticket = ticket;
  item.key = claimed.key;
  item.nonce = claimed.nonce;
  item.deadline = now + settings.claim_timeout;
  item.sequence = state.next_sequence++;
  state.pending.push_back(item);
  return internal::CopyToHolders(state, {claimed}, item.sequence);
}

std::vector<action> OnSettle(shard& state,
                             const record& outcome,
                             bool never_sent) {
  if (never_sent) {
    internal::RememberGivenUp(state, outcome.nonce);
  }
  const auto found = state.records.find(outcome.key);
  if (state.phase != shard_phase::active || found == state.records.end() ||
      found->second.nonce != outcome.nonce) {
    return {};
  }
  state.unsaved.insert(outcome.key);
  if (never_sent) {
    state.records.erase(found);
    return {};
  }
  found->second.state = outcome.state;
  found->second.answer = outcome.answer;
  return internal::CopyToHolders(state, {found->second}, 0);
}

std::vector<action> Tick(shard& state, const options& settings, mono_time now) {
  auto out = internal::EndLateClaims(state, now);
  if (state.awaits_store || now < state.next_store) {
    return out;
  }
  std::vector<action> more;
  switch (state.phase) {
    case shard_phase::collecting:
      more = state.readable
                 ? internal::MaybeActivate(state, settings, now)
                 : std::vector<action>{internal::ScanNext(state, settings)};
      break;
    case shard_phase::active:
      state.next_store = now + settings.save_interval;
      more = state.verifies_row
                 ? std::vector<action>{internal::Ask(
                       state, infra::read_row{ShardRowKey(state.number)})}
                 : internal::SaveNext(state, settings);
      break;
    case shard_phase::taking:
    case shard_phase::activating:
      more = {internal::ReadRow(state)};
      break;
    case shard_phase::idle:
    case shard_phase::reading:
      break;
  }
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

std::vector<action> ReplaceHolders(shard& state,
                                   const std::vector<std::string>& holders) {
  if (state.phase != shard_phase::active || holders == state.row.holders ||
      (state.wants_holders && holders == state.holders_wanted)) {
    return {};
  }
  state.holders_wanted = holders;
  state.wants_holders = true;
  state.new_holders_ready.clear();
  state.handover_sequence = state.next_sequence++;
  std::vector<record> unsaved;
  for (const auto& key : state.unsaved) {
    const auto found = state.records.find(key);
    if (found != state.records.end()) {
      unsaved.push_back(found->second);
    }
  }
  std::vector<action> out;
  for (const auto& holder : holders) {
    out.push_back(send_copies{
        holder, state.row.epoch, state.handover_sequence, unsaved, {}});
  }
  return out;
}

void Release(shard& state) {
  state.wants_release = true;
}

bool IsServing(const shard& state) {
  return state.phase == shard_phase::active && !state.wants_release;
}

}  // namespace mimosadeck::booking
