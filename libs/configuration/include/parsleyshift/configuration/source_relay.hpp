#pragma once

#include <parsleyshift/configuration/store_watch.hpp> // store_watch
#include <parsleyshift/core/clock.hpp>                // duration, time_point
#include <parsleyshift/core/ids.hpp>                  // instance_id
#include <parsleyshift/messages/peer.hpp>             // source_pull, source_answer

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift
{

/// @brief A peer that reads the configuration's source, or that asks for what it says.
struct source_peer
{
    instance_id instance;
    std::string address;
};

/// @brief An answer and the peer that asked for it.
struct addressed_answer
{
    source_peer to;
    source_answer answer;
};

/// @brief Bounds of reading a source through a peer.
struct source_relay_settings
{
    /// Time for an answer. The peer answers at its next reading, which takes up to the wait of its watch (0.7 s) and,
    /// while the store is slow, 0.3 s more.
    duration answer_within{1'200};
    /// Time for which an instance reads the store itself after its peer has not answered or could not tell.
    duration direct_for{2'000};
};

/// @brief Lets most instances learn what the store says from a peer that reads it, since every call to it is billed.
///
/// Freshness is proved without common clocks: the peer says how old its reading is, and the reading is dated back by
/// that age from the moment at which this instance asked, which is before the peer answered. So a late answer only
/// looks older than it is. An instance that gets no answer reads the store itself.
class source_relay
{
  public:
    enum class reception
    {
        /// Not the answer to the pull in progress.
        ignored,
        accepted,
        /// The peer cannot tell; the store is to be read.
        refused,
    };

    explicit source_relay(store_watch& watch, source_relay_settings settings = {}) : watch_(watch), settings_(settings)
    {
    }

    /// @brief The pull to send now. @param reader the peer that reads for this instance
    /// @return nothing when the store is to be read
    std::optional<source_pull> next_pull(const std::optional<source_peer>& reader, time_point now);
    /// @brief Takes an answer.
    reception take(const instance_id& from, const source_answer& answer, time_point now);
    /// @brief A pull was not answered within `answer_within`. @return false when it is no longer in progress
    bool unanswered(std::uint64_t number, time_point now);
    /// @brief The store was read, or has failed to answer; in the second case a peer is asked again at once.
    void read_directly(bool successful);
    /// @brief True while the next watch of the store should not wait, since nothing has been confirmed for long.
    [[nodiscard]] bool in_haste() const noexcept
    {
        return in_haste_;
    }
    [[nodiscard]] duration answer_within() const noexcept
    {
        return settings_.answer_within;
    }

    /// @brief A peer asks. @return its answer, if it is due at once
    std::optional<source_answer> asked(const source_peer& from, const source_pull& pull, time_point now);
    /// @brief Answers that have become due by a reading. @param successful false: the source did not answer
    std::vector<addressed_answer> due(bool successful, time_point now);

  private:
    struct waiting_pull
    {
        source_peer from;
        source_pull pull;
    };
    struct sent_pull
    {
        instance_id to;
        std::uint64_t number = 0;
        time_point at;
    };

    void go_direct(time_point now);

    store_watch& watch_;
    source_relay_settings settings_;
    std::optional<sent_pull> sent_;
    std::uint64_t pulls_ = 0;
    time_point direct_until_;
    bool in_haste_ = false;
    bool source_lost_ = false;
    std::vector<waiting_pull> waiting_;
};

} // namespace parsleyshift
