#pragma once

#include <parsleyshift/configuration/record_table.hpp> // record_table, bucket_cursor
#include <parsleyshift/configuration/settings.hpp>     // configuration_settings
#include <parsleyshift/core/clock.hpp>                 // time_point
#include <parsleyshift/messages/action.hpp>            // send_to_peer
#include <parsleyshift/messages/peer.hpp>              // configuration_pull, peer_envelope

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace parsleyshift
{

/// @brief Answers pulls of peers in messages of limited size, with a pause between two messages to one peer.
class pull_answers
{
  public:
    explicit pull_answers(configuration_settings settings);

    /// @brief Starts the answer to a pull, in place of an unfinished answer to the same peer. The pull is dropped when
    /// `max_concurrent_answers` answers are unfinished.
    void add(const peer_envelope& from, const configuration_pull& pull, time_point now);
    /// @brief Appends the messages that are due. Linear in the buckets read.
    void send(const record_table& table, time_point now, std::vector<send_to_peer>& messages);
    /// @brief Time at which the next messages are due; `never` without unfinished answers.
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
        bucket_cursor cursor;
        bool started = false;
    };
    configuration_records next_part(const record_table& table, answer& pending) const;

    configuration_settings settings_;
    std::vector<answer> answers_;
    time_point next_send_;
};

} // namespace parsleyshift
