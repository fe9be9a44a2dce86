#pragma once

#include <nlohmann/json.hpp> // json

#include <condition_variable> // condition_variable
#include <cstdint>            // int64_t
#include <deque>              // deque
#include <map>                // map
#include <mutex>              // mutex
#include <optional>           // optional
#include <set>                // set
#include <string>             // string
#include <vector>             // vector

namespace parsleyshift::standins
{

/// @brief Behaviour of the engine stand-in; times in milliseconds, memory in tokens.
struct engine_options
{
    std::string id;
    int slots = 16;
    std::int64_t memory = 40'000;
    /// Time of one decode step with an empty batch, and its growth for each running generation.
    double step_ms = 8;
    double step_growth = 0.06;
    /// Prompt tokens that one step prefills.
    int prefill_tokens = 512;
    int max_waiting = 256;
    std::int64_t load_lag_ms = 200;
    std::int64_t cache_lag_ms = 100;
    /// Every n-th cache event is lost; 0: none.
    int cache_gap = 7;
    int cached_prefixes = 256;
    std::int64_t keep_ms = 60'000;
    std::int64_t load_ms = 500;
    bool ignores_fencing = false;
    std::vector<std::string> models;
};

/// @brief A generation as its readers see it.
struct generation_view
{
    bool known = false;
    std::vector<std::string> tokens;
    bool finished = false;
    /// Cancelled, so that no end marker follows.
    bool cancelled = false;
    std::int64_t total = 0;
};

/// @brief Continuous batching in real time: one thread steps the batch, others add, read and cancel generations.
class engine_model
{
  public:
    explicit engine_model(engine_options options);

    /// @brief Steps the batch for ever; run by one thread.
    void run();
    /// @brief Queues a generation. @return nothing, or why it did not start
    std::optional<std::string> submit(const std::string& attempt, const nlohmann::json& request);
    /// @brief Waits until there are tokens from the offset on, or the end.
    generation_view await(const std::string& attempt, std::size_t offset);
    bool cancel(const std::string& attempt);
    nlohmann::json load_report();
    nlohmann::json cache_events(std::int64_t after);
    /// @brief Takes a placement order. @return answer; its field `accepted` is false for an old fence
    nlohmann::json order(const nlohmann::json& order);
    void set_slow(double factor);
    void pause_for(std::int64_t milliseconds);
    void leave();
    [[nodiscard]] bool leaving();
    /// @brief Counts for tests: attempts started, preemptions.
    nlohmann::json counts();

  private:
    enum class state
    {
        waiting,
        running,
        finished,
        cancelled,
    };
    struct generation
    {
        std::int64_t prompt_tokens = 0;
        std::int64_t total = 0;
        std::int64_t priority = 0;
        std::int64_t arrival = 0;
        std::int64_t ended_ms = 0;
        /// Prompt tokens still to be read before the next output token.
        std::int64_t prefill_left = 0;
        /// Output tokens after which the whole engine dies; -1: none.
        std::int64_t crash_at = -1;
        std::string prompt;
        state now = state::waiting;
        std::vector<std::string> tokens;
        [[nodiscard]] std::int64_t memory() const
        {
            return prompt_tokens + static_cast<std::int64_t>(tokens.size());
        }
    };
    struct cache_row
    {
        std::int64_t sequence = 0;
        std::int64_t visible_ms = 0;
        std::uint64_t prefix = 0;
        bool cached = true;
    };
    struct pending_load
    {
        std::int64_t ready_ms = 0;
        std::string model;
    };

    generation* best_waiting();
    std::string worst_running() const;
    void admit();
    void decode();
    void make_room();
    void end(generation& ended, state how);
    void forget_old();
    void finish_loads();
    void refresh_load();
    std::int64_t count(state wanted) const;
    std::int64_t memory_used() const;
    std::int64_t note_prefixes(const std::string& prompt);
    void add_cache_event(std::uint64_t prefix, bool cached);

    engine_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, generation> all_;
    std::deque<cache_row> cache_;
    std::deque<std::uint64_t> prefixes_;
    std::vector<pending_load> loads_;
    std::set<std::string> models_;
    std::string role_ = "decode";
    nlohmann::json load_;
    std::int64_t load_taken_ms_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t arrivals_ = 0;
    std::int64_t preemptions_ = 0;
    std::int64_t sequence_ = 0;
    double slow_ = 1;
    std::int64_t paused_until_ms_ = 0;
    bool leaving_ = false;
};

} // namespace parsleyshift::standins
