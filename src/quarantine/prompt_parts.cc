#include "quarantine/prompt_parts.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <tuple>

#include "quarantine/quarantine.h"

namespace mimosadeck::quarantine {
namespace internal {
namespace {

constexpr std::string_view kPartPrefix = "part/";

/** @brief Returns a crash without the entry that observed it: several entries
 * have requests on one upstream. */
std::string_view WithoutObserver(std::string_view crash) {
  return crash.substr(0, crash.find('@'));
}

bool Contains(const std::set<std::string>& crashes, std::string_view crash) {
  return crashes.contains(std::string(WithoutObserver(crash)));
}

bool IsCleared(const suspect_table& state,
               const std::string& part,
               const std::string& crash) {
  const auto found = state.suspects.find(part);
  return found != state.suspects.end() && found->second.cleared.contains(crash);
}

std::uint32_t CrashesToCondemn(const suspect_table& state,
                               const options& settings,
                               const std::string& part) {
  const auto known = state.parts.find(part);
  const bool was_served =
      known != state.parts.end() && known->second.served_at.has_value();
  return was_served ? settings.crashes_to_condemn_served_part
                    : settings.crashes_to_condemn_part;
}

/** @brief Orders suspected parts by how likely they are the cause: most
 * crashes, then deepest in their prompts, then in the fewest requests. */
std::tuple<std::size_t, std::size_t, std::int64_t> LikelihoodOf(
    const suspect_table& state,
    const std::string& part) {
  const auto crashes = state.suspects.at(part).crashes.size();
  const auto known = state.parts.find(part);
  return known == state.parts.end()
             ? std::tuple<std::size_t, std::size_t, std::int64_t>(crashes, 0, 0)
             : std::tuple(crashes, known->second.depth,
                          -static_cast<std::int64_t>(known->second.requests));
}

/** @brief Returns the parts that enough crashes are attributed to. */
std::vector<std::string> Accused(const suspect_table& state,
                                 const options& settings) {
  std::vector<std::string> out;
  for (const auto& [name, record] : state.suspects) {
    if (IsPart(name) && !record.condemned &&
        record.crashes.size() >= CrashesToCondemn(state, settings, name)) {
      out.push_back(name);
    }
  }
  return out;
}

/** @brief Moves the crashes that a condemned part explains to the cleared ones
 * of another suspect. */
void ClearExplained(suspect& other, const std::set<std::string>& explained) {
  std::erase_if(other.crashes, [&](const auto& crash) {
    if (!Contains(explained, crash)) {
      return false;
    }
    other.crashes_alone.erase(crash);
    other.cleared.insert(crash);
    return true;
  });
}

void Condemn(suspect_table& state, const std::string& part) {
  auto& condemned = state.suspects.at(part);
  condemned.condemned = true;
  condemned.acquitted_at.reset();
  ClearExplainedCrashes(state, part);
}

/** @brief Drops the records of parts that were not requested for longest. */
void LimitParts(suspect_table& state, const options& settings) {
  if (state.parts.size() <= settings.max_parts) {
    return;
  }
  std::vector<mono_time> seen;
  seen.reserve(state.parts.size());
  for (const auto& [name, known] : state.parts) {
    seen.push_back(known.seen_at);
  }
  const auto middle =
      seen.begin() + static_cast<std::ptrdiff_t>(seen.size() / 2);
  std::nth_element(seen.begin(), middle, seen.end());
  std::erase_if(state.parts, [limit = *middle](const auto& item) {
    return item.second.seen_at <= limit;
  });
}

}  // namespace
}  // namespace internal

std::string PartName(std::uint64_t part) {
  constexpr int kHexadecimal = 16;
  std::array<char, kHexadecimal> digits{};
  const auto written = std::to_chars(
      digits.data(), digits.data() + digits.size(), part, kHexadecimal);
  return std::string(internal::kPartPrefix).append(digits.data(), written.ptr);
}

bool IsPart(std::string_view suspect) {
  return suspect.starts_with(internal::kPartPrefix);
}

void OnPartsRequested(suspect_table& state,
                      const options& settings,
                      const std::vector<std::string>& parts,
                      mono_time now) {
  for (std::size_t depth = 0; depth < parts.size(); ++depth) {
    auto& known = state.parts[parts[depth]];
    ++known.requests;
    known.depth = depth;
    known.seen_at = now;
  }
  internal::LimitParts(state, settings);
}

std::vector<std::string> OnPartsServed(suspect_table& state,
                                       const options& settings,
                                       const std::vector<std::string>& parts,
                                       mono_time now) {
  std::vector<std::string> acquitted;
  for (const auto& part : parts) {
    auto& known = state.parts[part];
    known.served_at = known.seen_at = now;
    const auto found = state.suspects.find(part);
    if (found == state.suspects.end()) {
      continue;
    }
    if (found->second.condemned) {
      acquitted.push_back(part);
    }
    Acquit(found->second, now, now);
  }
  internal::LimitParts(state, settings);
  return acquitted;
}

void OnPartsCrash(suspect_table& state,
                  const options& settings,
                  const std::string& crash,
                  const std::vector<std::string>& parts,
                  mono_time sent_at,
                  mono_time now) {
  const std::string id(internal::WithoutObserver(crash));
  if (const auto* condemned = FindCondemned(state, parts)) {
    auto& record = state.suspects.at(*condemned);
    record.crashes.insert(id);
    record.crashed_at = now;
    return;
  }
  if (IsExplained(state, id)) {
    return;
  }
  for (const auto& part : parts) {
    const auto known = state.parts.find(part);
    const bool was_served =
        known != state.parts.end() && known->second.served_at >= sent_at;
    if (was_served || internal::IsCleared(state, part, id)) {
      continue;
    }
    static_cast<void>(OnCrash(state, settings, id, {part}, now));
  }
}

std::vector<std::string> CondemnParts(suspect_table& state,
                                      const options& settings) {
  std::vector<std::string> out;
  while (true) {
    const auto accused = internal::Accused(state, settings);
    const auto unknown = std::count_if(
        accused.begin(), accused.end(),
        [&](const auto& part) { return !state.parts.contains(part); });
    if (accused.empty() || unknown > 1) {
      return out;
    }
    const auto likeliest = std::max_element(
        accused.begin(), accused.end(), [&](const auto& a, const auto& b) {
          return internal::LikelihoodOf(state, a) <
                 internal::LikelihoodOf(state, b);
        });
    internal::Condemn(state, *likeliest);
    out.push_back(*likeliest);
  }
}

void ClearExplainedCrashes(suspect_table& state, const std::string& part) {
  const auto explained = state.suspects.at(part).crashes;
  for (auto& [name, other] : state.suspects) {
    if (!other.condemned) {
      internal::ClearExplained(other, explained);
    }
  }
}

bool IsExplained(const suspect_table& state, std::string_view crash) {
  return std::any_of(state.suspects.begin(), state.suspects.end(),
                     [crash](const auto& item) {
                       return item.second.condemned && IsPart(item.first) &&
                              internal::Contains(item.second.crashes, crash);
                     });
}

const std::string* FindCondemned(const suspect_table& state,
                                 const std::vector<std::string>& suspects) {
  const auto found =
      std::find_if(suspects.begin(), suspects.end(),
                   [&](const auto& each) { return IsCondemned(state, each); });
  return found == suspects.end() ? nullptr : &*found;
}

}  // namespace mimosadeck::quarantine
