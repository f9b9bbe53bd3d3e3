#ifndef NET_PEER_SILENCE_H_
#define NET_PEER_SILENCE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "net/fwd.h"

namespace mimosadeck::net {

/** @brief What the system knows about the output of a connection. */
struct output_state {
  /** The peer's system has not acknowledged data or a probe that was sent. */
  bool awaits_acknowledgement{};
  /** Bytes that it has acknowledged since the connection began. */
  std::uint64_t acknowledged_bytes{};
  /** Time since it last acknowledged anything, an answer to a probe included; 0
   * if that is not known. */
  std::chrono::milliseconds since_acknowledgement{};
  /** Bytes that were written and not acknowledged. */
  std::uint64_t pending_bytes{};
};

/** @brief Limits for the silence of a peer. */
struct silence_options {
  /** Time without an acknowledgement after which a peer is lost; it allows a
   * few retransmissions. */
  std::chrono::milliseconds limit{3000};
  /** Time between samples. */
  std::chrono::milliseconds sample_interval{500};
};

/** @brief For how long a peer has left something without an acknowledgement. */
struct peer_silence {
  /** Time of the last sample; none while nothing awaits an acknowledgement. */
  std::optional<mono_time> sampled_at;
  std::uint64_t acknowledged_bytes{};
  std::chrono::milliseconds unanswered{};
};

/**
 * @brief Records a sample of a connection's output.
 *
 * A peer that reads slowly closes its receive window, and its system answers
 * the probes of the window, which become rarer. The time since the last
 * acknowledgement therefore grows for slow peers too; only the time for which
 * something has been waiting for one shows that a peer is lost.
 *
 * A late sample counts as two intervals at most, since a process that was held
 * up may find acknowledgements that have not been handled yet.
 *
 * @return True if the peer is lost.
 */
[[nodiscard]] bool OnOutputSample(peer_silence& state,
                                  const silence_options& options,
                                  const output_state& sample,
                                  mono_time now);

}  // namespace mimosadeck::net

#endif  // NET_PEER_SILENCE_H_
