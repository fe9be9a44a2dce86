#pragma once

#include <parsleyshift/core/clock.hpp>        // duration, time_point
#include <parsleyshift/core/ids.hpp>          // endpoint_id, incarnation, service_id
#include <parsleyshift/messages/endpoint.hpp> // endpoint_statement
#include <parsleyshift/messages/forward.hpp>  // cold_start, forwarding_service
#include <parsleyshift/messages/peer.hpp>     // endpoint_notice
#include <parsleyshift/messages/platform.hpp> // listed_instance

#include <cstddef>       // size_t
#include <deque>         // deque
#include <functional>    // function
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

/// @brief Which endpoints are cold, that is, bear only few requests per second since their processes have just started,
/// and until when.
///
/// Only endpoints of services whose configuration names a number of requests per second count. A time that ends later
/// replaces the known one, whoever states it. A time that ends earlier does so only if it is a later statement: of the
/// endpoint in the answer to a request that was sent after the known time was learned, or of the list if the known time
/// is from the list, too. A wrong time thus ends by itself.
class cold_endpoints
{
  public:
    /// Longer times are shortened to this, so that an absurd value does not slow an endpoint down for good.
    static constexpr duration max_time{86'400'000};
    /// Assumed for a time that cannot be read, if the service names none.
    static constexpr duration unknown_time{60'000};

    /// @brief What a statement has changed.
    enum class change
    {
        none,
        /// The endpoint is cold, and was not, or stays so for markedly longer than was known.
        cold,
        /// It is not cold any more.
        warm,
    };

    /// @brief Sets how the endpoints of services behave after their starts.
    /// @return true if this has changed
    bool configure(const std::vector<forwarding_service>& services);
    /// @brief Applies a row of the list. A process that appears, that is, a new id or start number, and whose entry
    /// does not say how long it stays cold, is cold for the time of its service. The processes of the first list after
    /// configure() has named a service do not appear; they have been there before.
    change record_listed(const listed_instance& row, time_point now);
    /// @brief All rows of a list have been applied.
    void end_list();
    /// @brief Applies what an endpoint has stated in an answer.
    /// @param sent when the request was sent; the earliest time if that is unknown
    change record_answer(const endpoint_id& endpoint, const service_id& service, incarnation process,
                         const endpoint_statement& stated, time_point sent, time_point now);
    /// @brief Applies a peer's notice, also about a process that is not listed yet.
    change merge(const endpoint_notice& notice, time_point now);

    /// @brief Requests per second that an endpoint bears from all instances together; nothing if it is not cold.
    /// @param process that the list names
    [[nodiscard]] std::optional<double> starts_per_second(const endpoint_id& endpoint, const service_id& service,
                                                          incarnation process, time_point now) const;
    /// @brief Time for which an endpoint stays cold; 0 if it is not cold.
    [[nodiscard]] duration left(const endpoint_id& endpoint, time_point now) const;
    /// @brief Sets `cold_left` and `started` of a notice, if the endpoint is cold.
    void add_to(endpoint_notice& notice, time_point now) const;
    /// @brief Endpoints of which it was learned within `notice_time` that they are cold, at most `max_notices`. The
    /// list tells peers what is older.
    [[nodiscard]] std::vector<endpoint_id> recent(time_point now) const;
    /// @brief The endpoints whose times have run out since the last call. Linear in the known endpoints if there are
    /// any.
    std::vector<endpoint_id> take_warm(time_point now);
    /// @brief When the next time runs out; `never` if no endpoint is cold. Constant time.
    [[nodiscard]] time_point next_end() const noexcept
    {
        return next_end_;
    }
    /// @brief Number of cold endpoints.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return cold_count_;
    }
    /// @brief False if no service names a number of requests per second for its cold endpoints.
    [[nodiscard]] bool enabled() const noexcept
    {
        return !services_.empty();
    }
    /// @brief Forgets endpoints that are neither cold nor listed.
    void purge(const std::function<bool(const endpoint_id&)>& is_listed);

  private:
    /// Within this time a change of the list reaches all instances.
    static constexpr duration notice_time{4'000};
    static constexpr std::size_t max_notices = 32;
    /// Statements about the same time differ by the ages of the answers.
    static constexpr duration marked_extension{1'000};
    /// Later end of a cold time in a notice that counts as its delay on the way.
    static constexpr duration notice_tolerance{1'000};

    struct paced_service
    {
        cold_start settings;
        /// A list has been applied since the service is paced.
        bool listed = false;
    };
    struct known_process
    {
        incarnation process;
        time_point until = time_point::min();
        /// When `until` was learned.
        time_point as_of = time_point::min();
        /// From an answer of the endpoint or the notice of a peer, not from the list.
        bool from_answer = false;
        /// Counted as cold since its time began; see take_warm().
        bool cold = false;
    };
    struct learned
    {
        time_point when;
        endpoint_id endpoint;
    };

    [[nodiscard]] const paced_service* find(const service_id& service) const;
    /// The process of an endpoint, replaced if it is another one.
    /// @return nullptr when a later process is known
    known_process* find_or_replace(const endpoint_id& endpoint, incarnation process);
    change set(const endpoint_id& endpoint, known_process& known, time_point until, bool from_answer, time_point now);

    /// Only services that name a number of requests per second.
    std::unordered_map<service_id, paced_service> services_;
    std::unordered_map<endpoint_id, known_process> processes_;
    std::deque<learned> recent_;
    std::size_t cold_count_ = 0;
    time_point next_end_ = never;
};

} // namespace parsleyshift
