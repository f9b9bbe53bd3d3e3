#include "config/replica.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace mimosadeck::config {
namespace internal {
namespace {

constexpr std::uint32_t kMaxChangesPerScan = 200;
constexpr std::size_t kMaxRecentChanges = 512;

std::uint64_t ParseVersion(std::string_view text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

bool ApplyAndRetain(replica& target, const change_set& changes) {
  if (!ApplyNext(target.current, changes)) {
    return false;
  }
  target.recent_changes.push_back(changes);
  if (target.recent_changes.size() > kMaxRecentChanges) {
    target.recent_changes.pop_front();
  }
  target.newest_version = std::max(target.newest_version, changes.version);
  return true;
}

infra::request ReadChanges(const replica& target) {
  return infra::scan_rows{std::string(kChangePrefix),
                          ChangeRow(target.current.version),
                          kMaxChangesPerScan};
}

poll_step FinishIfUpToDate(replica& target, poll& state, bool changed) {
  if (target.current.version >= state.head) {
    if (!target.up_to_date_at || *target.up_to_date_at < state.sent_at) {
      target.up_to_date_at = state.sent_at;
    }
    return poll_done{true, changed};
  }
  return ReadChanges(target);
}

poll_step OnHead(replica& target, poll& state, std::uint64_t head) {
  state.head = head;
  target.newest_version = std::max(target.newest_version, head);
  if (target.current.version >= head) {
    return FinishIfUpToDate(target, state, false);
  }
  if (target.current.version == 0) {
    state.reading_snapshot = true;
    return infra::get_object{std::string(kSnapshotObject)};
  }
  state.reading_changes = true;
  return ReadChanges(target);
}

poll_step OnChangesPage(replica& target,
                        poll& state,
                        const infra::rows_page& page) {
  bool changed = false;
  for (const auto& row : page.rows) {
    const auto decoded = DecodeChangeSet(row.value);
    if (IsOk(decoded)) {
      changed |= ApplyAndRetain(target, std::get<change_set>(decoded));
    }
  }
  if (page.more && changed) {
    return ReadChanges(target);
  }
  if (target.current.version < state.head) {
    return poll_done{true, changed};
  }
  return FinishIfUpToDate(target, state, changed);
}

poll_step OnSnapshot(replica& target, poll& state, const std::string& bytes) {
  state.reading_snapshot = false;
  state.reading_changes = true;
  const auto decoded = DecodeDocument(bytes);
  if (IsOk(decoded)) {
    ApplyPeerDocument(target, std::get<document>(decoded));
  }
  return FinishIfUpToDate(target, state, true);
}

}  // namespace
}  // namespace internal

std::string ChangeRow(std::uint64_t version) {
  constexpr std::size_t kDigits = 24;
  std::array<char, kDigits> digits{};
  const int size = std::snprintf(digits.data(), digits.size(), "%020llu",
                                 static_cast<unsigned long long>(version));
  return std::string(kChangePrefix) +
         std::string(digits.data(), static_cast<std::size_t>(size));
}

infra::request BeginPoll(poll& state, mono_time now) {
  state = poll{};
  state.sent_at = now;
  return infra::read_row{std::string(kHeadRow)};
}

poll_step OnPollReply(replica& target, poll& state, const infra::reply& reply) {
  if (const auto* page = std::get_if<infra::rows_page>(&reply)) {
    return internal::OnChangesPage(target, state, *page);
  }
  if (const auto* found = std::get_if<infra::object_found>(&reply)) {
    return internal::OnSnapshot(target, state, found->bytes);
  }
  if (std::holds_alternative<infra::object_absent>(reply)) {
    state.reading_snapshot = false;
    state.reading_changes = true;
    return internal::ReadChanges(target);
  }
  if (const auto* head = std::get_if<infra::row_found>(&reply)) {
    return internal::OnHead(target, state,
                            internal::ParseVersion(head->found.value));
  }
  if (std::holds_alternative<infra::row_absent>(reply)) {
    return internal::OnHead(target, state, 0);
  }
  return poll_done{false, false};
}

bool ApplyPeerChanges(replica& target, const std::vector<change_set>& changes) {
  bool advanced = false;
  for (const auto& item : changes) {
    advanced |= internal::ApplyAndRetain(target, item);
  }
  return advanced;
}

bool ApplyPeerDocument(replica& target, const document& newer) {
  if (newer.version <= target.current.version) {
    return false;
  }
  target.current = newer;
  target.recent_changes.clear();
  target.newest_version = std::max(target.newest_version, newer.version);
  return true;
}

void OnPeerFreshness(replica& target,
                     std::uint64_t version,
                     std::chrono::milliseconds age,
                     mono_time probe_sent_at) {
  target.newest_version = std::max(target.newest_version, version);
  if (target.current.version < version) {
    return;
  }
  const mono_time proven = probe_sent_at - age;
  if (!target.up_to_date_at || *target.up_to_date_at < proven) {
    target.up_to_date_at = proven;
  }
}

std::optional<std::vector<change_set>> ChangesSince(const replica& source,
                                                    std::uint64_t version) {
  if (version >= source.current.version) {
    return std::vector<change_set>{};
  }
  if (source.recent_changes.empty() ||
      source.recent_changes.front().version > version + 1) {
    return std::nullopt;
  }
  std::vector<change_set> out;
  std::copy_if(source.recent_changes.begin(), source.recent_changes.end(),
               std::back_inserter(out), [version](const change_set& item) {
                 return item.version > version;
               });
  return out;
}

infra::request BeginEdit(edit& state) {
  state.head_read = false;
  state.reading_back = false;
  return infra::read_row{std::string(kHeadRow)};
}

namespace internal {
namespace {

infra::request CommitEdit(const edit& state) {
  infra::commit out;
  out.conditions.push_back({std::string(kHeadRow), state.head_row_version});
  out.writes.push_back(
      {std::string(kHeadRow), std::to_string(state.proposed.version)});
  out.writes.push_back(
      {ChangeRow(state.proposed.version), EncodeChangeSet(state.proposed)});
  return out;
}

edit_step OnEditHead(edit& state,
                     std::uint64_t head,
                     std::uint64_t head_row_version) {
  if (head + 1 != state.proposed.version) {
    return edit_conflict{head};
  }
  state.head_read = true;
  state.head_row_version = head_row_version;
  return CommitEdit(state);
}

edit_step OnReadBack(const edit& state, const infra::reply& reply) {
  const auto* found = std::get_if<infra::row_found>(&reply);
  if (!found) {
    return edit_conflict{state.proposed.version};
  }
  const auto decoded = DecodeChangeSet(found->found.value);
  if (IsOk(decoded) &&
      std::get<change_set>(decoded).nonce == state.proposed.nonce) {
    return edit_accepted{state.proposed.version};
  }
  return edit_conflict{state.proposed.version};
}

infra::request PendingRequest(const edit& state) {
  if (state.reading_back) {
    return infra::read_row{ChangeRow(state.proposed.version)};
  }
  if (state.head_read) {
    return CommitEdit(state);
  }
  return infra::read_row{std::string(kHeadRow)};
}

}  // namespace
}  // namespace internal

edit_step OnEditReply(edit& state, const infra::reply& reply) {
  if (std::holds_alternative<infra::unavailable>(reply) ||
      std::holds_alternative<infra::unknown_outcome>(reply)) {
    return edit_retry{internal::PendingRequest(state)};
  }
  if (state.reading_back) {
    return internal::OnReadBack(state, reply);
  }
  if (std::holds_alternative<infra::committed>(reply)) {
    return edit_accepted{state.proposed.version};
  }
  if (std::holds_alternative<infra::conflict>(reply)) {
    state.reading_back = true;
    return internal::PendingRequest(state);
  }
  if (const auto* found = std::get_if<infra::row_found>(&reply)) {
    return internal::OnEditHead(state,
                                internal::ParseVersion(found->found.value),
                                found->found.version);
  }
  return internal::OnEditHead(state, 0, 0);
}

}  // namespace mimosadeck::config
