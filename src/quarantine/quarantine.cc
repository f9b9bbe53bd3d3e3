#include "quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "base/digest.h"

namespace mimosadeck::quarantine {
namespace internal {
namespace {

void Judge(suspect& entry, const options& settings) {
  if (entry.crashes_alone.size() >= settings.crashes_alone_to_condemn ||
      entry.crashes.size() >= settings.crashes_to_condemn) {
    entry.condemned = true;
  }
}

/** @brief Takes note that something new was learned. */
void Renew(suspect& entry, mono_time now) {
  entry.updated_at = now;
  entry.times_advertised = 0;
}

void AddUncleared(const suspect& entry,
                  const std::set<std::string>& from,
                  std::set<std::string>& to) {
  std::set_difference(from.begin(), from.end(), entry.cleared.begin(),
                      entry.cleared.end(), std::inserter(to, to.end()));
}

/** @brief Orders by crashes, the most first; then what this entry has seen
 * itself, which nobody else can tell; then by turns, the newest first. */
bool GoesFirst(const suspect_entry* a, const suspect_entry* b) {
  const auto rank = [](const suspect& of) {
    return std::tuple(of.condemned ? 0 : -std::ssize(of.crashes),
                      !of.observed_locally, of.times_advertised,
                      -of.updated_at.time_since_epoch());
  };
  return rank(a->second) < rank(b->second);
}

/** @brief Moves the first of the due ones into what is told. */
void Tell(std::vector<suspect_entry*>& due,
          std::size_t limit,
          suspect_selection& out) {
  std::stable_sort(due.begin(), due.end(), GoesFirst);
  const auto count = std::min(due.size(), limit);
  for (std::size_t i = 0; i < count; ++i) {
    ++due[i]->second.times_advertised;
    out.selected.push_back(due[i]);
  }
  out.omitted += due.size() - count;
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
  auto& known = state.by_upstream[upstream];
  if (known.crashes == 0 || at - known.last_at > settings.same_crash_window) {
    ++known.crashes;
    known.last_at = at;
  }
  return upstream + '#' + std::to_string(known.crashes) + '@' +
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
    auto& entry = state.suspects[fingerprint];
    if (!entry.crashes.insert(crash).second) {
      continue;
    }
    entry.observed_locally = true;
    entry.crashed_at = now;
    internal::Renew(entry, now);
    if (running.size() == 1) {
      entry.crashes_alone.insert(crash);
    }
    internal::Judge(entry, settings);
    changed.push_back(fingerprint);
  }
  return changed;
}

void OnFinished(suspect_table& state, const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || found->second.condemned) {
    return;
  }
  auto& entry = found->second;
  entry.cleared.merge(entry.crashes);
  entry.crashes.clear();
  entry.crashes_alone.clear();
}

bool Merge(suspect_table& state,
           const options& settings,
           const std::string& fingerprint,
           const suspect& known,
           mono_time now) {
  if (now - known.crashed_at > settings.forget_after) {
    return false;
  }
  auto& entry = state.suspects[fingerprint];
  const auto crashes_before = entry.crashes.size();
  const bool was_condemned = entry.condemned;
  internal::AddUncleared(entry, known.crashes, entry.crashes);
  internal::AddUncleared(entry, known.crashes_alone, entry.crashes_alone);
  entry.condemned = entry.condemned || known.condemned;
  entry.crashed_at = std::max(entry.crashed_at, known.crashed_at);
  internal::Judge(entry, settings);
  const bool is_condemned_now = entry.condemned && !was_condemned;
  if (is_condemned_now || entry.crashes.size() > crashes_before) {
    internal::Renew(entry, now);
  }
  return is_condemned_now;
}

suspect_selection SelectSuspects(suspect_table& state,
                                 const options& settings,
                                 mono_time now) {
  std::vector<suspect_entry*> condemned;
  std::vector<suspect_entry*> others;
  for (auto& each : state.suspects) {
    if (each.second.condemned) {
      condemned.push_back(&each);
    } else if (!each.second.crashes.empty() &&
               now - each.second.updated_at <= settings.advertise_for) {
      others.push_back(&each);
    }
  }
  const auto kept_free = std::min(others.size(), settings.max_advertised / 2);
  suspect_selection out;
  internal::Tell(condemned, settings.max_advertised - kept_free, out);
  internal::Tell(others, settings.max_advertised - out.selected.size(), out);
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
  return static_cast<std::size_t>(
      std::count_if(state.suspects.begin(), state.suspects.end(),
                    [](const auto& each) { return each.second.condemned; }));
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
