#pragma once

#include <parsleyshift/core/clock.hpp>                  // time_point
#include <parsleyshift/core/error.hpp>                  // result
#include <parsleyshift/decision_core/core_settings.hpp> // core_settings
#include <parsleyshift/messages/action.hpp>             // action
#include <parsleyshift/messages/event.hpp>              // event

#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

namespace parsleyshift
{

/// @brief Makes all decisions of one instance, as a deterministic state machine without sockets, threads, global state
/// or clock reads.
///
/// Many cores can run in one process. The same settings and the same events at the same times produce the same actions.
///
/// @code
/// auto core = decision_core::make(settings).value();
/// std::vector<action> out;
/// core.handle(timer_expired{}, now, out);           // the first event starts the core
/// // execute the actions, pass their results in as events, and pass in timer_expired at core.next_deadline()
/// @endcode
class decision_core
{
  public:
    /// @brief Makes a core.
    /// @return the core, or invalid_field if a token key is invalid
    static result<decision_core> make(core_settings settings);

    decision_core(decision_core&& other) noexcept;
    decision_core& operator=(decision_core&& other) noexcept;
    decision_core(const decision_core&) = delete;
    decision_core& operator=(const decision_core&) = delete;
    ~decision_core();

    /// @brief Handles one event and everything that is due by its time.
    /// @param input the event
    /// @param now time of the event; an earlier time than in a previous call counts as that time
    /// @param out the resulting actions are appended, in the order in which they must be executed
    void handle(const event& input, time_point now, std::vector<action>& out);

    /// @brief Earliest time at which the core needs a timer_expired event.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief SHA-256 of a customer's key in lower-case hex; empty if the customer has no key or does not exist, so
    /// that its callers are not authenticated. O(1).
    [[nodiscard]] std::string key_sha256(const customer_id& customer) const;

    /// @brief Configuration revision up to which this instance has every change; sent to peers in each envelope.
    [[nodiscard]] revision highest_revision() const;

  private:
    class implementation;

    explicit decision_core(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> impl_;
};

} // namespace parsleyshift
