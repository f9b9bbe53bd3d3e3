#include "booking/shard.h"

#include <algorithm>

namespace mimosadeck::booking {
namespace internal {
namespace {

action RequestFromStore(shard& state, infra::request request) {
  state.store_request_pending = true;
  return store_request{std::move(request)};
}

infra::commit CommitRow(shard& state, const shard_row& next) {
  state.proposed = next;
  infra::commit out;
  out.conditions.push_back({ShardRowKey(state.number), state.row_version});
  out.writes.push_back({ShardRowKey(state.number), EncodeShardRow(next)});
  return out;
}

action ReadShardRow(shard& state) {
  state.phase = shard_phase::reading;
  return RequestFromStore(state, infra::read_row{ShardRowKey(state.number)});
}

void RefusePendingClaims(shard& state, std::vector<action>& out) {
  for (const auto& item : state.pending) {
    out.push_back(claim_answer{item.ticket, claim_outcome::refused, {}});
  }
  state.pending.clear();
}

void StepDown(shard& state, std::vector<action>& out) {
  RefusePendingClaims(state, out);
  state.phase = shard_phase::idle;
  state.records.clear();
  state.unsaved.clear();
  state.saving.clear();
  state.proposed.reset();
  state.replacing_holders = false;
  state.verifying_row = false;
}

bool CanTakeOver(const shard& state, const departed_predicate& departed) {
  const auto& owner = state.row.owner;
  return owner.empty() || owner == state.self || state.row.released ||
         departed(owner);
}

/** @brief Commits a shard row with this entry as owner in a new epoch. */
std::vector<action> ProposeTakeOver(shard& state) {
  shard_row next;
  next.owner = state.self;
  next.epoch = state.row.epoch + 1;
  next.holders = state.target_holders;
  if (state.row.recovering) {
    next.former_holders = state.row.former_holders;
    next.former_epoch = state.row.former_epoch;
  } else if (!state.row.released) {
    next.former_holders = state.row.holders;
    next.former_epoch = state.row.epoch;
  }
  next.recovering = true;
  next.uncertain = state.row.uncertain;
  state.phase = shard_phase::taking_over;
  return {RequestFromStore(state, CommitRow(state, next))};
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
  if (!CanTakeOver(state, departed)) {
    state.phase = shard_phase::idle;
    return {};
  }
  return ProposeTakeOver(state);
}

action ScanPage(shard& state, const options& settings) {
  return RequestFromStore(
      state, infra::scan_rows{RecordPrefix(state.number), state.scan_after,
                              settings.records_per_scan});
}

std::vector<action> StartCollecting(shard& state,
                                    const options& settings,
                                    mono_time now) {
  state.phase = shard_phase::collecting;
  state.collecting_started = now;
  state.collected_from.clear();
  state.records_loaded = false;
  state.scan_after = RecordPrefix(state.number);
  state.records.clear();
  state.unsaved.clear();
  std::vector<action> out;
  for (const auto& holder : state.row.former_holders) {
    out.push_back(
        fetch_copies{holder, state.row.former_epoch, state.row.epoch});
  }
  out.push_back(ScanPage(state, settings));
  return out;
}

bool IsCollectionFinished(const shard& state,
                          const options& settings,
                          mono_time now) {
  const bool all_replied = std::all_of(
      state.row.former_holders.begin(), state.row.former_holders.end(),
      [&](const auto& id) { return state.collected_from.contains(id); });
  if (all_replied) {
    return true;
  }
  return now - state.collecting_started >= settings.fetch_timeout;
}

/** @brief Saves collected records and ends recovery in one transaction. */
std::vector<action> Activate(shard& state) {
  shard_row next = state.row;
  next.recovering = false;
  next.former_holders.clear();
  next.former_epoch = 0;
  if (!state.row.former_holders.empty() && state.collected_from.empty()) {
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
  return {RequestFromStore(state, std::move(request))};
}

std::vector<action> MaybeActivate(shard& state,
                                  const options& settings,
                                  mono_time now) {
  if (state.phase != shard_phase::collecting || state.store_request_pending ||
      !state.records_loaded || !IsCollectionFinished(state, settings, now)) {
    return {};
  }
  return Activate(state);
}

std::vector<action> OnRecordsScanned(shard& state,
                                     const options& settings,
                                     const infra::reply& reply,
                                     mono_time now) {
  const auto* page = std::get_if<infra::rows_page>(&reply);
  if (!page) {
    state.next_store_request = now + settings.retry_interval;
    return {};
  }
  for (const auto& row : page->rows) {
    state.scan_after = row.key;
    const auto decoded = DecodeRecord(row.value);
    if (!decoded) {
      continue;
    }
    const auto held = state.records.find(decoded->key);
    if (held == state.records.end() || decoded->state > held->second.state) {
      state.records[decoded->key] = *decoded;
    }
  }
  if (page->more) {
    return {ScanPage(state, settings)};
  }
  state.records_loaded = true;
  return MaybeActivate(state, settings, now);
}

void AnswerDurableClaim(shard& state,
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

/** @brief Marks committed records as saved and answers their claims. */
void OnRecordsSaved(shard& state, std::vector<action>& out) {
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
    AnswerDurableClaim(state, item, out);
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

void ApplyCommittedRow(shard& state, shard_row row, std::uint64_t version) {
  state.row_version = version;
  state.row = std::move(row);
  state.proposed.reset();
  if (state.replacing_holders && state.row.holders == state.target_holders) {
    state.replacing_holders = false;
  }
}

std::vector<action> OnCommitted(shard& state,
                                const options& settings,
                                mono_time now) {
  std::vector<action> out;
  if (state.phase == shard_phase::taking_over) {
    return StartCollecting(state, settings, now);
  }
  if (state.row.released) {
    StepDown(state, out);
    return out;
  }
  state.phase = shard_phase::active;
  OnRecordsSaved(state, out);
  return out;
}

/** @brief Resolves a commit of unknown outcome by the row read back. */
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
    state.next_store_request = now + settings.retry_interval;
    return out;
  }
  state.verifying_row = false;
  const auto row = DecodeShardRow(found->found.value);
  const bool still_owner =
      row && row->owner == state.self && row->epoch == state.row.epoch;
  if (!still_owner) {
    StepDown(state, out);
    return out;
  }
  if (found->found.version == state.row_version) {
    return out;
  }
  ApplyCommittedRow(state, *row, found->found.version);
  return OnCommitted(state, settings, now);
}

std::vector<action> OnCommitReply(shard& state,
                                  const options& settings,
                                  const infra::reply& reply,
                                  mono_time now) {
  if (const auto* done = std::get_if<infra::committed>(&reply)) {
    ApplyCommittedRow(state, *state.proposed, done->version);
    return OnCommitted(state, settings, now);
  }
  if (std::holds_alternative<infra::unavailable>(reply)) {
    state.next_store_request = now + settings.retry_interval;
    return {};
  }
  if (state.phase == shard_phase::active) {
    state.verifying_row = true;
    return {};
  }
  std::vector<action> out;
  if (std::holds_alternative<infra::conflict>(reply)) {
    StepDown(state, out);
  }
  state.next_store_request = now + settings.retry_interval;
  return out;
}

/** @brief Returns the holders, with the new ones during a replacement. */
std::set<std::string> CurrentAndNewHolders(const shard& state) {
  std::set<std::string> out(state.row.holders.begin(), state.row.holders.end());
  if (state.replacing_holders) {
    out.insert(state.target_holders.begin(), state.target_holders.end());
  }
  return out;
}

std::vector<action> CopyToHolders(shard& state,
                                  const std::vector<record>& records,
                                  std::uint64_t sequence) {
  std::vector<action> out;
  for (const auto& holder : CurrentAndNewHolders(state)) {
    out.push_back(send_copies{holder, state.row.epoch, sequence, records, {}});
  }
  return out;
}

bool IsAbandoned(const shard& state, const std::string& nonce) {
  return std::find(state.abandoned_nonces.begin(), state.abandoned_nonces.end(),
                   nonce) != state.abandoned_nonces.end();
}

void RecordAbandoned(shard& state, const std::string& nonce) {
  constexpr std::size_t kMaxAbandonedNonces = 256;
  state.abandoned_nonces.push_back(nonce);
  if (state.abandoned_nonces.size() > kMaxAbandonedNonces) {
    state.abandoned_nonces.pop_front();
  }
}

claim_outcome OutcomeOf(const record& existing,
                        const record& claim,
                        const departed_predicate& departed) {
  if (existing.digest != claim.digest) {
    return claim_outcome::key_reused;
  }
  switch (existing.state) {
    case record_state::done:
      return claim_outcome::answered;
    case record_state::outcome_unknown:
      return claim_outcome::unknown;
    case record_state::claimed:
      break;
  }
  return departed(existing.executor) ? claim_outcome::unknown
                                     : claim_outcome::in_progress;
}

std::vector<action> RefuseExpiredClaims(shard& state, mono_time now) {
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

/** @brief Commits a batch of unsaved records and any change of the row. */
std::vector<action> CommitUnsaved(shard& state, const options& settings) {
  shard_row next = state.row;
  if (state.replacing_holders &&
      std::all_of(state.target_holders.begin(), state.target_holders.end(),
                  [&](const auto& id) {
                    return state.confirmed_holders.contains(id);
                  })) {
    next.holders = state.target_holders;
  }
  const bool row_changes = next.holders != state.row.holders;
  if (state.unsaved.empty() && !row_changes && !state.release_requested) {
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
      record deleted;
      deleted.key = key;
      state.saving[key] = deleted;
      writes.push_back({row_key, std::nullopt});
    } else {
      state.saving[key] = found->second;
      writes.push_back({row_key, EncodeRecord(found->second)});
    }
  }
  const bool all_saved = writes.size() == state.unsaved.size();
  if (state.release_requested && all_saved && state.pending.empty()) {
    next.released = true;
    next.holders.clear();
  }
  auto request = CommitRow(state, next);
  request.writes.insert(request.writes.end(), writes.begin(), writes.end());
  return {RequestFromStore(state, std::move(request))};
}

}  // namespace
}  // namespace internal

std::vector<action> TakeOver(shard& state,
                             const std::vector<std::string>& holders,
                             mono_time now) {
  if (state.phase != shard_phase::idle || state.store_request_pending ||
      now < state.next_store_request || state.release_requested) {
    return {};
  }
  state.target_holders = holders;
  return {internal::ReadShardRow(state)};
}

std::vector<action> OnStoreReply(shard& state,
                                 const options& settings,
                                 const infra::reply& reply,
                                 const departed_predicate& departed,
                                 mono_time now) {
  if (!state.store_request_pending) {
    return {};
  }
  state.store_request_pending = false;
  if (state.verifying_row) {
    return internal::OnRowVerified(state, settings, reply, now);
  }
  switch (state.phase) {
    case shard_phase::reading:
      state.next_store_request = now + settings.retry_interval;
      return internal::OnRowRead(state, reply, departed);
    case shard_phase::collecting:
      return internal::OnRecordsScanned(state, settings, reply, now);
    case shard_phase::taking_over:
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
  if (state.replacing_holders && sequence == state.holder_change_sequence) {
    state.confirmed_holders.insert(holder);
    return out;
  }
  const auto holders = internal::CurrentAndNewHolders(state);
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
      internal::AnswerDurableClaim(state, item, out);
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
    auto& existing = state.records[item.key];
    if (existing.key.empty() || item.state >= existing.state) {
      existing = item;
      state.unsaved.insert(item.key);
    }
  }
  return internal::MaybeActivate(state, settings, now);
}

std::vector<action> OnClaim(shard& state,
                            const options& settings,
                            const record& claim,
                            const departed_predicate& departed,
                            mono_time now,
                            std::uint64_t& ticket) {
  ticket = state.next_ticket++;
  if (state.phase != shard_phase::active || state.release_requested ||
      internal::IsAbandoned(state, claim.nonce)) {
    return {claim_answer{ticket, claim_outcome::refused, {}}};
  }
  const auto existing = state.records.find(claim.key);
  if (existing != state.records.end()) {
    return {claim_answer{ticket,
                         internal::OutcomeOf(existing->second, claim, departed),
                         existing->second.answer}};
  }
  if (state.row.uncertain) {
    return {claim_answer{ticket, claim_outcome::unknown, {}}};
  }
  record claimed = claim;
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
    internal::RecordAbandoned(state, outcome.nonce);
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
  auto out = internal::RefuseExpiredClaims(state, now);
  if (state.store_request_pending || now < state.next_store_request) {
    return out;
  }
  std::vector<action> actions;
  switch (state.phase) {
    case shard_phase::collecting:
      actions = state.records_loaded
                    ? internal::MaybeActivate(state, settings, now)
                    : std::vector<action>{internal::ScanPage(state, settings)};
      break;
    case shard_phase::active:
      state.next_store_request = now + settings.save_interval;
      actions = state.verifying_row
                    ? std::vector<action>{internal::RequestFromStore(
                          state, infra::read_row{ShardRowKey(state.number)})}
                    : internal::CommitUnsaved(state, settings);
      break;
    case shard_phase::taking_over:
    case shard_phase::activating:
      actions = {internal::ReadShardRow(state)};
      break;
    case shard_phase::idle:
    case shard_phase::reading:
      break;
  }
  out.insert(out.end(), actions.begin(), actions.end());
  return out;
}

std::vector<action> ReplaceHolders(shard& state,
                                   const std::vector<std::string>& holders) {
  if (state.phase != shard_phase::active || holders == state.row.holders ||
      (state.replacing_holders && holders == state.target_holders)) {
    return {};
  }
  state.target_holders = holders;
  state.replacing_holders = true;
  state.confirmed_holders.clear();
  state.holder_change_sequence = state.next_sequence++;
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
        holder, state.row.epoch, state.holder_change_sequence, unsaved, {}});
  }
  return out;
}

void Release(shard& state) {
  state.release_requested = true;
}

bool IsServing(const shard& state) {
  return state.phase == shard_phase::active && !state.release_requested;
}

}  // namespace mimosadeck::booking
