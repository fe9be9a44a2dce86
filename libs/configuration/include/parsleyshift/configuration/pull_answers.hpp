#pragma once

#include <parsleyshift/configuration/record_table.hpp> // record_table, bucket_position
#include <parsleyshift/configuration/settings.hpp>     // configuration_settings
#include <parsleyshift/core/clock.hpp>                 // time_point
#include <parsleyshift/messages/action.hpp>            // send_to_peer
#include <parsleyshift/messages/peer.hpp>              // configuration_pull, peer_envelope

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Answers to pulls, sent in bounded messages with a pause between two messages to one peer.
class pull_answers
{
  public:
    explicit pull_answers(configuration_settings settings);

    /// @brief Takes a pull; it replaces an unfinished one of the same peer. Dropped when too many are unfinished.
    void add(const peer_envelope& from, const configuration_pull& pull, time_point now);
    /// @brief Sends the messages that are due. Linear in the buckets read.
    void send(const record_table& table, time_point now, std::vector<send_to_peer>& messages);
    [[nodiscard]] time_point next_deadline() const;

  private:
    struct answer
    {
        instance_id to;
        std::string address;
        revision after;
        revision highest;
        std::vector<std::uint32_t> buckets;
        std::size_t next_bucket = 0;
        bucket_position position;
        bool begun = false;
    };
    configuration_records next_part(const record_table& table, answer& unfinished) const;

    configuration_settings settings_;
    std::vector<answer> answers_;
    time_point next_send_;
};

} // namespace parsleyshift
