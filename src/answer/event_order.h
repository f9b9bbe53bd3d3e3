#ifndef ANSWER_EVENT_ORDER_H_
#define ANSWER_EVENT_ORDER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosadeck::answer {

/** @brief Where an event stands after the last event of a stream. */
enum class event_position {
  /** It is the next event. */
  next,
  /** Its id is not greater than the last one. */
  repeated,
  /** Events between the last one and this one are missing. */
  after_gap,
  /** The ids do not tell. */
  unknown,
  /** It is other text, such as the head of a response. */
  not_an_event,
};

/**
 * @brief Order of the events of a stream, learned from their ids.
 *
 * Ids are increasing numbers. Their difference is learned, since a stream may
 * count by another step than one.
 */
struct event_order {
  /** Id of the last event; unset if it had none or if it was no number. */
  std::optional<std::uint64_t> last_id;
  /** Difference between successive ids; unset until two are known. */
  std::optional<std::uint64_t> step;
  /** All differences equal `step`. */
  bool is_even{true};
  /** Each id was greater than the one before. */
  bool is_increasing{true};
};

/** @brief Parses an event id. @return Nothing if it is no number. */
[[nodiscard]] std::optional<std::uint64_t> ParseEventId(std::string_view id);

/** @brief Records an event that was taken. */
void OnEvent(event_order& state, std::optional<std::uint64_t> id);

/** @brief Returns where an event with this id stands after the last event. */
[[nodiscard]] event_position PositionOf(const event_order& state,
                                        std::optional<std::uint64_t> id);

/** @brief Returns the position in words, for logs. */
[[nodiscard]] std::string_view Describe(event_position position);

/** @brief Returns true if another run can continue after the last event. */
[[nodiscard]] bool CanContinue(const event_order& state);

}  // namespace mimosadeck::answer

#endif  // ANSWER_EVENT_ORDER_H_
