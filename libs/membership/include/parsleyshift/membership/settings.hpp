#pragma once

#include <parsleyshift/core/clock.hpp> // duration

#include <cstddef> // size_t

namespace parsleyshift
{

/// @brief Intervals and limits of the failure detector.
struct membership_settings
{
    /// Time between two direct probes by this instance.
    duration probe_interval{1'000};
    /// Time without an acknowledgement after which the indirect probes are sent; longer than a round trip between
    /// regions (60 ms) with a margin for a busy process.
    duration ack_timeout{300};
    /// Number of peers that receive a request for an indirect probe.
    std::size_t indirect_probes = 3;
    /// Suspicion lasts suspicion_factor * max(1, log10(live members)) * probe_interval * (1 + health score);
    /// then the suspect is probed once more, and evicted one probe_interval later.
    double suspicion_factor = 4.0;
    /// Largest number of member updates in a probe or acknowledgement; a longer list is the answer to a join.
    std::size_t max_updates_per_message = 8;
    /// Number of these that are reserved for members chosen at random. They repair views that have missed piggybacked
    /// updates, also while many updates are queued: at 1,600 members, an instance receives each one again about every
    /// 6 minutes.
    std::size_t random_updates_per_message = 2;
    /// Each update is sent retransmit_factor * log2(members + 1) times, rounded up.
    double retransmit_factor = 3.0;
    /// Fraction of the probes that go to other regions while the own region has other members.
    double remote_share = 0.1;
    /// Delay of the probe timer above which the process is assumed to have been paused.
    duration pause_threshold{500};
    /// Highest health score; the suspicion timeout is multiplied by (1 + score).
    int max_health_score = 7;
    /// Time between two probes of dead members, which reconnect the view after a partition.
    duration reconnect_interval{5'000};
    /// Time for which dead members are kept; longer than the hour for which regions may lose contact.
    duration dead_member_retention{7'200'000};
    /// Largest number of unknown listed instances probed per platform list.
    std::size_t max_contacts_per_list = 3;
    /// Time after which an unanswered request for a view is sent to another listed peer.
    duration join_retry_interval{1'000};
    /// Time after the first view at which a second one is requested, since the member that sent the first one may have
    /// just started itself.
    duration second_view_delay{10'000};
    /// Time after the first call at which an instance without an answer counts as joined; afterwards also the interval
    /// between requests for a view.
    duration join_timeout{5'000};
    /// Largest number of updates in one message of an answer to a join, about 10 KB, or in an announcement of leaves.
    std::size_t max_updates_per_view_message = 64;
    /// Number of joins answered per second; further ones are dropped, and the joining instance retries with another
    /// peer.
    int max_view_answers_per_second = 4;
    /// Largest number of members kept, dead ones included; further ones are ignored.
    std::size_t max_members = 8'192;
    /// Smallest change of the busy share that is announced, in percentage points.
    int min_busy_change_percent = 20;
    /// Shortest time between two announcements of the busy share.
    duration min_busy_announce_interval{2'000};
};

} // namespace parsleyshift
