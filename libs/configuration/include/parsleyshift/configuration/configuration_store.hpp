#pragma once

#include <parsleyshift/configuration/output.hpp>          // configuration_output
#include <parsleyshift/configuration/record_acceptor.hpp> // record_acceptor
#include <parsleyshift/configuration/settings.hpp>        // configuration_settings
#include <parsleyshift/core/clock.hpp>                    // time_point
#include <parsleyshift/messages/event.hpp>                // configuration_received, configuration_unavailable
#include <parsleyshift/messages/peer.hpp>                 // member_update, peer_envelope

#include <cstdint> // uint64_t
#include <span>    // span
#include <string>  // string

namespace parsleyshift
{

/// @brief The accepted records of one instance, kept equal with those of its peers.
template <record_acceptor Acceptor>
class configuration_store
{
  public:
    configuration_store(member_update self, Acceptor acceptor, configuration_settings settings, std::uint64_t seed);

    /// @brief Takes the membership view; to be called after each change of a member. Linear in the members.
    /// @param joined false while the view is not complete yet (membership::joined())
    void update_members(std::span<const member_update> members, bool joined, time_point now, configuration_output& out);
    void handle(const configuration_received& answer, time_point now, configuration_output& out);
    void handle(const configuration_unavailable& answer, time_point now, configuration_output& out);
    /// @brief Handles digests, pulls and records, and takes the revision floor from every other message.
    void handle(const peer_envelope& envelope, time_point now, configuration_output& out);
    /// @brief Raises the lowest revision that this instance may start to serve with, from a caller's token.
    void raise_floor(revision floor);
    void expire(time_point now, configuration_output& out);
    [[nodiscard]] time_point next_deadline() const;
    /// @brief True once the instance may serve; never false again.
    [[nodiscard]] bool ready() const;
    /// @brief Revision up to which this store knows every change; for envelopes and tokens.
    [[nodiscard]] revision highest() const;
    [[nodiscard]] revision floor() const;
    [[nodiscard]] bool is_reader() const;
    /// @brief The record in force here, or nullptr. Logarithmic in the records of a bucket.
    [[nodiscard]] const raw_record* find(const std::string& kind, const std::string& name) const;
};

} // namespace parsleyshift
