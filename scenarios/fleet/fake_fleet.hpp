#pragma once

#include "fake_endpoint.hpp" // fake_endpoint
#include "history.hpp"       // history

#include <parsleyshift/core/random_source.hpp>          // random_source
#include <parsleyshift/decision_core/decision_core.hpp> // decision_core

#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <queue>      // priority_queue
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

namespace parsleyshift::scenarios
{

/// Time after which a send over a cut link is reported as broken.
inline constexpr duration silence_timeout{2'000};

/// @brief Address of an instance for its peers.
inline std::string peer_address_of(const std::string& name)
{
    return "peer:" + name;
}

/// @brief Settings of one instance of the system.
struct instance_settings
{
    std::string name;
    std::string availability_zone = "ikeja";
    std::string region = "lagos";
    int entry_slot = -1;
};

/// @brief Faults of the links between instances.
struct link_faults
{
    /// Share of the messages between instances that are lost or delivered twice.
    double loss = 0.0;
    double duplication = 0.0;
    /// One-way delay inside a region, and the largest random addition.
    duration delay{1};
    duration jitter{0};
    duration delay_between_regions{30};
};

/// @brief A few decision cores, fake endpoints and fake platform services, joined by a message queue with a clock.
///
/// One seed gives one run. Nothing here decides: the cores are those of the daemon.
class fake_fleet
{
  public:
    explicit fake_fleet(std::uint64_t seed);

    void add_instance(const instance_settings& settings);
    void add_endpoint(const endpoint_settings& settings);
    /// @brief Writes or withdraws a record at the configuration service.
    void write_record(const std::string& kind, const std::string& name, int schema, const std::string& body);
    void withdraw_record(const std::string& kind, const std::string& name);

    /// @brief Runs everything that happens within a time.
    void run(duration time);
    [[nodiscard]] time_point now() const noexcept
    {
        return now_;
    }

    // Faults.
    void kill(const std::string& name);
    void restart(const std::string& name);
    /// @brief The process stops; what it receives waits, and it wakes late.
    void pause(const std::string& name);
    void wake(const std::string& name);
    /// @brief Cuts one direction of a link: between instances, to or from an endpoint, "configuration" or "list".
    void cut(const std::string& from, const std::string& to);
    void heal();
    void leave(const std::string& endpoint);
    void slow_down(const std::string& endpoint, int factor);
    void plan_stop(const std::string& instance);
    void set_stale_configuration(bool stale);
    void set_list_lag(duration lag);
    link_faults links;

    // Callers.
    std::uint64_t generate(const std::string& instance, generation_request asked);
    std::uint64_t call(const std::string& instance, call_request asked);
    std::uint64_t order(const std::string& instance, order_request asked);
    std::uint64_t mint(const std::string& instance, const std::string& customer, const std::string& service);
    /// @brief The caller's link to its instance breaks and it resumes the same request at another one.
    void resume(std::uint64_t request, const std::string& instance);
    void disconnect(std::uint64_t request);

    // Views.
    [[nodiscard]] const history& seen() const noexcept
    {
        return seen_;
    }
    [[nodiscard]] const caller_record& caller(std::uint64_t request) const;
    /// @brief True when the instance's operators see the record at this revision of the service or later.
    [[nodiscard]] bool in_force(const std::string& instance, const std::string& kind, const std::string& name);
    [[nodiscard]] std::string records_of(const std::string& instance);
    [[nodiscard]] bool stopped(const std::string& instance) const;
    [[nodiscard]] bool alive(const std::string& instance) const;
    [[nodiscard]] std::uint64_t configuration_calls() const noexcept
    {
        return configuration_calls_;
    }
    [[nodiscard]] std::vector<std::string> instances() const;
    [[nodiscard]] std::vector<std::string> endpoints() const;

  private:
    struct instance
    {
        instance_settings settings;
        std::unique_ptr<decision_core> core;
        std::uint64_t incarnation = 0;
        bool paused = false;
        bool stopped = false;
        std::deque<std::function<void()>> waiting;
        time_point timer = never;
        std::set<std::string> watched;
        std::map<std::uint64_t, std::uint64_t> caller_of;
    };
    struct step
    {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> what;

        friend bool operator>(const step& left, const step& right)
        {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };
    struct watch
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        revision after;
        time_point until;
    };

    void start(instance& target);
    void later(duration wait, std::function<void()> what);
    void feed(const std::string& name, std::uint64_t incarnation, event what);
    void handle(instance& target, const event& what);
    void set_timer(instance& target);
    void poll(const std::string& name, std::uint64_t incarnation);
    void carry_out(instance& from, action& what);
    void send(instance& from, const send_to_peer& message);
    void read(instance& from, const read_configuration& asked);
    void answer_watches();
    [[nodiscard]] configuration_received changes_after(revision after) const;
    void to_endpoint(instance& from, const std::string& endpoint, attempt_id attempt, time_point send_deadline,
                     std::function<void(fake_endpoint&)> what);
    std::uint64_t ask(const std::string& name, const std::string& what, const std::string& key,
                      const std::function<event(request_id)>& make);
    void answer(instance& from, request_id request, const std::function<void(caller_record&)>& what);
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;
    [[nodiscard]] duration delay(const std::string& from_region, const std::string& to_region);
    [[nodiscard]] std::vector<listed_instance> current_list() const;
    [[nodiscard]] std::string view(const std::string& name, operator_view what);

    time_point now_ = at_ms(1'000'000);
    random_source random_;
    std::uint64_t seed_;
    std::priority_queue<step, std::vector<step>, std::greater<>> queue_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, instance> instances_;
    std::map<std::string, std::unique_ptr<fake_endpoint>> endpoints_;
    std::set<std::pair<std::string, std::string>> cuts_;
    /// Links of attempts whose silence is about to be reported.
    std::set<std::pair<std::string, attempt_id>> silent_;
    std::map<std::string, raw_record> records_;
    revision highest_;
    std::vector<raw_record> stale_records_;
    revision stale_highest_;
    bool stale_ = false;
    std::vector<watch> watches_;
    std::uint64_t configuration_calls_ = 0;
    duration list_lag_{0};
    std::uint64_t next_request_ = 0;
    history seen_;
};

} // namespace parsleyshift::scenarios
