#include "quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "base/digest.h"

namespace mimosadeck::quarantine {
namespace internal {
namespace {

void CondemnIfLimitReached(suspect& record, const options& settings) {
  if (record.crashes_alone.size() >= settings.crashes_alone_to_condemn ||
      record.crashes.size() >= settings.crashes_to_condemn) {
    record.condemned = true;
  }
}

/** @brief Restarts the advertising of a suspect after a change. */
void MarkUpdated(suspect& record, mono_time now) {
  record.updated_at = now;
  record.times_advertised = 0;
}

void AddUncleared(const suspect& record,
                  const std::set<std::string>& from,
                  std::set<std::string>& to) {
  std::set_difference(from.begin(), from.end(), record.cleared.begin(),
                      record.cleared.end(), std::inserter(to, to.end()));
}

/** @brief Orders prompt parts before requests, since one part may explain the
 * crashes of many; among parts the least advertised come first. Then by most
 * crashes. Within equal counts, and among condemned ones, those observed at
 * this entry come first, since no other entry may have them; then the least
 * advertised, then the last updated. */
bool HasPriority(const suspect_entry* a, const suspect_entry* b) {
  const auto rank = [](const suspect_entry& item) {
    const auto& record = item.second;
    const bool is_part = IsPart(item.first);
    return std::tuple(!is_part, is_part ? record.times_advertised : 0,
                      record.condemned ? 0 : -std::ssize(record.crashes),
                      !record.observed_locally, record.times_advertised,
                      -record.updated_at.time_since_epoch());
  };
  return rank(*a) < rank(*b);
}

/** @brief Returns when a request with a prompt part was last served, here or at
 * the sender of a report; unset if none was. */
std::optional<mono_time> ServedAt(const suspect_table& state,
                                  const std::string& name,
                                  const suspect& received) {
  const auto known = state.parts.find(name);
  return known == state.parts.end()
             ? received.acquitted_at
             : std::max(known->second.served_at, received.acquitted_at);
}

/** @brief Selects up to `limit` candidates in order of priority. */
void Select(std::vector<suspect_entry*>& candidates,
            std::size_t limit,
            suspect_selection& out) {
  std::stable_sort(candidates.begin(), candidates.end(), HasPriority);
  const auto count = std::min(candidates.size(), limit);
  for (std::size_t i = 0; i < count; ++i) {
    ++candidates[i]->second.times_advertised;
    out.selected.push_back(candidates[i]);
  }
  out.omitted += candidates.size() - count;
}

}  // namespace
}  // namespace internal

std::string Fingerprint(std::string_view account, std::string_view body) {
  constexpr std::size_t kDigits = 32;
  std::string text(account);
  text.push_back('\n');
  text.append(body);
  return Sha256Hex(text).substr(0, kDigits);
}

std::string AssignCrashId(crash_log& state,
                          const options& settings,
                          const std::string& upstream,
                          std::string_view observer,
                          mono_time at) {
  auto& count = state.by_upstream[upstream];
  if (count.crashes == 0 || at - count.last_at > settings.same_crash_window) {
    ++count.crashes;
    count.last_at = at;
  }
  return upstream + '#' + std::to_string(count.crashes) + '@' +
         std::string(observer);
}

std::string Fingerprint(std::string_view account,
                        std::string_view method,
                        std::string_view target,
                        std::string_view body) {
  std::string text(method);
  text.append(" ");
  text.append(body.empty() ? target : target.substr(0, target.find('?')));
  text.append("\n").append(body);
  return Fingerprint(account, text);
}

std::vector<std::string> OnCrash(suspect_table& state,
                                 const options& settings,
                                 const std::string& crash,
                                 const std::set<std::string>& running,
                                 mono_time now) {
  std::vector<std::string> changed;
  for (const auto& fingerprint : running) {
    auto& record = state.suspects[fingerprint];
    if (!record.crashes.insert(crash).second) {
      continue;
    }
    record.observed_locally = true;
    record.crashed_at = now;
    internal::MarkUpdated(record, now);
    if (running.size() == 1) {
      record.crashes_alone.insert(crash);
    }
    record.acquitted_at.reset();
    if (!IsPart(fingerprint)) {
      internal::CondemnIfLimitReached(record, settings);
    }
    changed.push_back(fingerprint);
  }
  return changed;
}

void OnFinished(suspect_table& state, const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || found->second.condemned) {
    return;
  }
  auto& record = found->second;
  record.cleared.merge(record.crashes);
  record.crashes.clear();
  record.crashes_alone.clear();
}

void Acquit(suspect& record, mono_time served_at, mono_time now) {
  const bool is_changed = record.condemned || !record.crashes.empty();
  record.cleared.merge(record.crashes);
  record.crashes.clear();
  record.crashes_alone.clear();
  record.condemned = false;
  if (is_changed) {
    record.acquitted_at = served_at;
    internal::MarkUpdated(record, now);
  }
}

bool Merge(suspect_table& state,
           const options& settings,
           const std::string& fingerprint,
           const suspect& received,
           mono_time now) {
  if (now - received.crashed_at > settings.forget_after) {
    return false;
  }
  auto& record = state.suspects[fingerprint];
  const auto crashes_before = record.crashes.size();
  const bool was_condemned = record.condemned;
  const auto served_at = internal::ServedAt(state, fingerprint, received);
  if (served_at &&
      *served_at >= std::max(received.crashed_at, record.crashed_at)) {
    internal::AddUncleared(record, received.crashes, record.crashes);
    record.condemned = record.condemned || received.condemned;
    record.crashed_at = std::max(record.crashed_at, received.crashed_at);
    Acquit(record, *served_at, now);
    return false;
  }
  internal::AddUncleared(record, received.crashes, record.crashes);
  internal::AddUncleared(record, received.crashes_alone, record.crashes_alone);
  const bool is_doubtful =
      served_at && received.crashed_at - *served_at < settings.recent_service;
  record.condemned = record.condemned || (received.condemned && !is_doubtful);
  record.crashed_at = std::max(record.crashed_at, received.crashed_at);
  if (!IsPart(fingerprint)) {
    internal::CondemnIfLimitReached(record, settings);
  }
  const bool is_condemned_now = record.condemned && !was_condemned;
  if (is_condemned_now || record.crashes.size() > crashes_before) {
    internal::MarkUpdated(record, now);
  }
  if (is_condemned_now && IsPart(fingerprint)) {
    record.acquitted_at.reset();
    ClearExplainedCrashes(state, fingerprint);
  }
  return is_condemned_now;
}

suspect_selection SelectSuspects(suspect_table& state,
                                 const options& settings,
                                 mono_time now) {
  std::vector<suspect_entry*> condemned;
  std::vector<suspect_entry*> uncondemned;
  for (auto& item : state.suspects) {
    if (item.second.condemned) {
      condemned.push_back(&item);
    } else if ((!item.second.crashes.empty() || item.second.acquitted_at) &&
               now - item.second.updated_at <= settings.advertise_for) {
      uncondemned.push_back(&item);
    }
  }
  const auto reserved =
      std::min(uncondemned.size(), settings.max_advertised / 2);
  suspect_selection out;
  internal::Select(condemned, settings.max_advertised - reserved, out);
  internal::Select(uncondemned, settings.max_advertised - out.selected.size(),
                   out);
  return out;
}

std::size_t CrashCount(const suspect_table& state,
                       const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  return found == state.suspects.end() ? 0 : found->second.crashes.size();
}

bool IsObservedLocally(const suspect_table& state,
                       const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  return found != state.suspects.end() && found->second.observed_locally;
}

std::size_t CondemnedCount(const suspect_table& state) {
  return static_cast<std::size_t>(std::count_if(
      state.suspects.begin(), state.suspects.end(), [](const auto& item) {
        return item.second.condemned && !IsPart(item.first);
      }));
}

std::size_t CondemnedPartCount(const suspect_table& state) {
  return static_cast<std::size_t>(std::count_if(
      state.suspects.begin(), state.suspects.end(), [](const auto& item) {
        return item.second.condemned && IsPart(item.first);
      }));
}

bool IsCondemned(const suspect_table& state, const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  return found != state.suspects.end() && found->second.condemned;
}

std::chrono::milliseconds CondemnedTimeLeft(const suspect_table& state,
                                            const options& settings,
                                            const std::string& fingerprint,
                                            mono_time now) {
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || !found->second.condemned) {
    return std::chrono::milliseconds(0);
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      found->second.crashed_at + settings.forget_after - now);
  return std::max(left, std::chrono::milliseconds(1));
}

bool MustRunAlone(const suspect_table& state, const std::string& fingerprint) {
  return IsCondemned(state, fingerprint) || CrashCount(state, fingerprint) > 0;
}

void Tick(suspect_table& state, const options& settings, mono_time now) {
  std::erase_if(state.suspects, [&](const auto& item) {
    return now - item.second.crashed_at > settings.forget_after;
  });
}

void Tick(crash_log& state, const options& settings, mono_time now) {
  std::erase_if(state.by_upstream, [&](const auto& item) {
    return now - item.second.last_at > settings.forget_after;
  });
}

}  // namespace mimosadeck::quarantine
