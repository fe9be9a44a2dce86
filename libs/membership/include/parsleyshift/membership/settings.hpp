#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Intervals and bounds of the failure detector.
struct membership_settings
{
    /// Time between two direct probes.
    duration probe_interval{1'000};
    /// Time without an acknowledgement after which the indirect probes are sent; longer than a round trip between
    /// regions (60 ms) with a margin for a busy process.
    duration ack_timeout{300};
    /// Peers that are asked for an indirect probe.
    std::size_t indirect_probes = 3;
    /// Suspicion lasts suspicion_factor * max(1, log10(live members)) * probe_interval * (1 + health score);
    /// then the suspect is probed once more, and evicted one probe_interval later.
    double suspicion_factor = 4.0;
    /// Member updates in one probe, acknowledgement or announcement.
    std::size_t updates_per_message = 8;
    /// Of these, places for members chosen at random, which repair views that piggybacked updates have missed, also
    /// while many updates wait: at 1,600 members each one is repeated to an instance about every 6 minutes.
    std::size_t reminders_per_message = 2;
    /// Each update is sent retransmit_factor * log2(members) times.
    double retransmit_factor = 3.0;
    /// Share of the probes that go to other regions while the own region has other members.
    double remote_share = 0.1;
    /// A timer that runs later than this was delayed by a pause of the process.
    duration pause_threshold{500};
    /// Highest health score; timeouts grow to (1 + score) times their length.
    int highest_health_score = 7;
    /// Time between two probes of dead members, which heal a partition.
    duration reconnect_interval{5'000};
    /// Longer than the hour for which regions may lose contact.
    duration forget_dead_after{7'200'000};
    /// Listed peers asked for their whole view, one after the other until one answers.
    std::size_t join_peers = 3;
    /// Time after which the next listed peer is asked.
    duration join_retry{1'000};
    /// Time after the first view at which another member is asked, since the first one may have started just before.
    duration second_view_after{10'000};
    /// Time after the first call at which an instance without an answer counts as joined.
    duration join_patience{5'000};
    /// Updates in one message of an answer to a join, about 10 KB.
    std::size_t updates_per_view_message = 64;
    /// Answers to joins in one second; more are dropped and the joining instance asks another peer.
    int view_answers_per_second = 4;
    /// Most members kept, dead ones included; further ones are ignored.
    std::size_t highest_members = 8'192;
    /// Change of the busy share, in per cent, that is announced.
    int busy_step = 20;
    /// Time between two announcements of the busy share.
    duration busy_interval{2'000};
};

} // namespace parsleyshift
