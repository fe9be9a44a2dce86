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

/// @brief All decisions of one instance, without sockets, threads, globals or clock reads.
///
/// Many cores can run in one process. The same events at the same times give the same actions.
///
/// @code
/// auto core = decision_core::make(settings).value();
/// std::vector<action> out;
/// core.handle(timer_expired{}, now, out);           // the first event starts the core
/// // carry out the actions, feed what happens, and feed timer_expired at core.next_deadline()
/// @endcode
class decision_core
{
  public:
    /// @brief Makes a core.
    /// @return the core, or invalid_field when a token key is unusable
    static result<decision_core> make(core_settings settings);

    decision_core(decision_core&& other) noexcept;
    decision_core& operator=(decision_core&& other) noexcept;
    decision_core(const decision_core&) = delete;
    decision_core& operator=(const decision_core&) = delete;
    ~decision_core();

    /// @brief Feeds one event.
    /// @param happened the event
    /// @param now time of the event; must not go back
    /// @param out receives the actions that the event causes, in the order in which to carry them out
    void handle(const event& happened, time_point now, std::vector<action>& out);

    /// @brief Earliest time at which the core wants a timer_expired event.
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Lower-case hex SHA-256 of a customer's key; empty when callers need not prove who they are. O(1).
    [[nodiscard]] std::string key_sha256(const customer_id& customer) const;

    /// @brief Configuration revision up to which this instance knows every change; goes into the envelopes to peers.
    [[nodiscard]] revision highest_revision() const;

  private:
    class implementation;

    explicit decision_core(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> parts_;
};

} // namespace parsleyshift
