#include "quarantine/quarantine.h"

#include <algorithm>

#include "base/digest.h"

namespace mimosadeck::quarantine {
namespace internal {
namespace {

void Judge(suspect& entry, const options& settings) {
  if (entry.crashes_alone.size() >= settings.crashes_alone ||
      entry.crashes.size() >= settings.crashes_in_all) {
    entry.condemned = true;
  }
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

std::vector<std::string> OnCrash(ward& state,
                                 const options& settings,
                                 const std::string& crash,
                                 const std::set<std::string>& running,
                                 mono_time now) {
  std::vector<std::string> changed;
  for (const auto& fingerprint : running) {
    auto& entry = state.suspects[fingerprint];
    entry.seen_at = now;
    if (!entry.crashes.insert(crash).second) {
      continue;
    }
    if (running.size() == 1) {
      entry.crashes_alone.insert(crash);
    }
    internal::Judge(entry, settings);
    changed.push_back(fingerprint);
  }
  return changed;
}

void OnFinished(ward& state, const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  if (found != state.suspects.end() && !found->second.condemned) {
    state.suspects.erase(found);
  }
}

void Merge(ward& state,
           const options& settings,
           const std::string& fingerprint,
           const suspect& known,
           mono_time now) {
  auto& entry = state.suspects[fingerprint];
  entry.seen_at = now;
  entry.crashes.insert(known.crashes.begin(), known.crashes.end());
  entry.crashes_alone.insert(known.crashes_alone.begin(),
                             known.crashes_alone.end());
  entry.condemned = entry.condemned || known.condemned;
  internal::Judge(entry, settings);
}

news ToTell(const ward& state, const options& settings, mono_time now) {
  news out;
  for (const auto& each : state.suspects) {
    if (now - each.second.seen_at > settings.told_for) {
      continue;
    }
    if (out.told.size() < settings.most_told) {
      out.told.push_back(&each);
    } else {
      ++out.left_out;
    }
  }
  return out;
}

std::size_t CrashCount(const ward& state, const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  return found == state.suspects.end() ? 0 : found->second.crashes.size();
}

std::size_t CondemnedCount(const ward& state) {
  return static_cast<std::size_t>(
      std::count_if(state.suspects.begin(), state.suspects.end(),
                    [](const auto& each) { return each.second.condemned; }));
}

bool IsCondemned(const ward& state, const std::string& fingerprint) {
  const auto found = state.suspects.find(fingerprint);
  return found != state.suspects.end() && found->second.condemned;
}

bool MustRunAlone(const ward& state, const std::string& fingerprint) {
  return state.suspects.contains(fingerprint);
}

void Tick(ward& state, const options& settings, mono_time now) {
  std::erase_if(state.suspects, [&](const auto& item) {
    return now - item.second.seen_at > settings.forget_after;
  });
}

}  // namespace mimosadeck::quarantine
