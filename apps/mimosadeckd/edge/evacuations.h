#ifndef APPS_MIMOSADECKD_EDGE_EVACUATIONS_H_
#define APPS_MIMOSADECKD_EDGE_EVACUATIONS_H_

#include <string_view>

#include <google/protobuf/repeated_ptr_field.h>

#include "mimosadeckd/edge/state.h"
#include "wire/digest.pb.h"

namespace mimosadeck::edge {

/** @brief Applies the evacuations that the operators wrote to the store. */
void ApplyEvacuations(edge_state& state,
                      const platform::operator_update& update);

/**
 * @brief Applies evacuations that another entry knows of.
 * @param origin Name of the entry, for the log.
 */
void MergeEvacuations(
    edge_state& state,
    const google::protobuf::RepeatedPtrField<wire::evacuation>& received,
    std::string_view origin);

/** @brief Appends the evacuations that this entry knows of to a message for
 * other entries. */
void AddEvacuations(const edge_state& state,
                    google::protobuf::RepeatedPtrField<wire::evacuation>& out);

/** @brief Ends evacuations that the store lost and that were not written again.
 */
void EndLostEvacuations(edge_state& state);

}  // namespace mimosadeck::edge

#endif  // APPS_MIMOSADECKD_EDGE_EVACUATIONS_H_
