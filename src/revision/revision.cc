#include "revision/revision.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <utility>

#include <zstd.h>

namespace mimosadeck::revision {
namespace internal {
namespace {

constexpr int kCompressionLevel = 3;  // zstd's default

struct context_deleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

error Unreadable(std::string message) {
  return {result_code::change_unreadable, std::move(message)};
}

/** Returns the logarithm of the smallest zstd window that spans the prefix and
 * the text. */
int WindowLog(std::size_t bytes) {
  const auto required = static_cast<int>(std::bit_width(bytes));
  const auto bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
  return std::clamp(required, bounds.lowerBound, bounds.upperBound);
}

result<std::string> Compress(const std::string& prefix,
                             const std::string& text) {
  const std::unique_ptr<ZSTD_CCtx, context_deleter> context(ZSTD_createCCtx());
  std::string out(ZSTD_compressBound(text.size()), '\0');
  const auto size = prefix.size() + text.size();
  for (const auto& [parameter, value] :
       {std::pair(ZSTD_c_compressionLevel, kCompressionLevel),
        std::pair(ZSTD_c_windowLog, WindowLog(size)),
        std::pair(ZSTD_c_checksumFlag, 1)}) {
    ZSTD_CCtx_setParameter(context.get(), parameter, value);
  }
  ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  const auto written = ZSTD_compress2(context.get(), out.data(), out.size(),
                                      text.data(), text.size());
  if (ZSTD_isError(written) != 0) {
    return Unreadable(ZSTD_getErrorName(written));
  }
  out.resize(written);
  return out;
}

/** Removes the oldest revisions that exceed the limits. */
void Trim(history& state, const options& settings) {
  std::size_t bytes = 0;
  for (const auto& [version, text] : state.texts) {
    bytes += text.size();
  }
  bytes -= state.texts.rbegin()->second.size();
  while (state.texts.size() > 1 &&
         (state.texts.size() > settings.max_revisions + 1 ||
          bytes > settings.max_bytes)) {
    bytes -= state.texts.begin()->second.size();
    state.texts.erase(state.texts.begin());
  }
}

}  // namespace
}  // namespace internal

std::uint64_t NewestVersion(const history& state) {
  return state.texts.empty() ? 0 : state.texts.rbegin()->first;
}

void Add(history& state,
         const options& settings,
         std::uint64_t version,
         std::string text) {
  if (!state.texts.empty() && version <= NewestVersion(state)) {
    return;
  }
  state.texts.emplace(version, std::move(text));
  state.compressed.clear();
  internal::Trim(state, settings);
}

result<change> ChangeSince(history& state, std::uint64_t since) {
  if (state.texts.empty()) {
    return internal::Unreadable("the history is empty");
  }
  const auto base = state.texts.find(since);
  const auto from = base == state.texts.end() ? 0 : since;
  const auto version = NewestVersion(state);
  const auto cached = state.compressed.find(from);
  if (cached != state.compressed.end()) {
    return change{from, version, cached->second};
  }
  auto content = internal::Compress(
      base == state.texts.end() ? std::string() : base->second,
      state.texts.rbegin()->second);
  if (auto* failed = std::get_if<error>(&content)) {
    return std::move(*failed);
  }
  auto& added = state.compressed[from];
  added = std::get<std::string>(std::move(content));
  return change{from, version, added};
}

result<std::string> Apply(const history& state,
                          const options& settings,
                          const change& received) {
  const auto base = state.texts.find(received.since);
  if (received.since != 0 && base == state.texts.end()) {
    return internal::Unreadable("the change applies to version " +
                                std::to_string(received.since) +
                                ", which the history does not have");
  }
  const auto size = ZSTD_getFrameContentSize(received.content.data(),
                                             received.content.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > settings.max_text_bytes) {
    return internal::Unreadable("not a zstd frame, or its text is too large");
  }
  const std::unique_ptr<ZSTD_DCtx, internal::context_deleter> context(
      ZSTD_createDCtx());
  if (received.since != 0) {
    ZSTD_DCtx_refPrefix(context.get(), base->second.data(),
                        base->second.size());
  }
  std::string out(size, '\0');
  const auto written =
      ZSTD_decompressDCtx(context.get(), out.data(), out.size(),
                          received.content.data(), received.content.size());
  if (ZSTD_isError(written) != 0) {
    return internal::Unreadable(ZSTD_getErrorName(written));
  }
  out.resize(written);
  return out;
}

}  // namespace mimosadeck::revision
