#include "fake_endpoint.hpp" // fake_endpoint

#include <algorithm> // min
#include <cstdlib>   // strtoll
#include <utility>   // move

namespace parsleyshift::scenarios
{
namespace
{

/// Promise: no new work later than this after the first sign that an endpoint leaves.
constexpr duration leaving_grace{2'000};

std::int64_t length_of(const std::string& prompt, std::int64_t usual)
{
    const auto star = prompt.find('*');
    return star == std::string::npos ? usual : std::strtoll(prompt.c_str() + star + 1, nullptr, 10);
}

bool crashes(const std::string& text)
{
    return text.find("crash") != std::string::npos;
}

} // namespace

fake_endpoint::fake_endpoint(endpoint_settings settings, history& seen, reply answer, later schedule)
    : settings_(std::move(settings)), seen_(seen), answer_(std::move(answer)), schedule_(std::move(schedule))
{
}

bool fake_endpoint::refuse(const std::string& from, attempt_id attempt, time_point now)
{
    if (!leaving())
    {
        return false;
    }
    if (now > leaving_since_ + leaving_grace)
    {
        ++seen_.late_work;
    }
    answer_(from, attempt_failed{attempt, attempt_failure::leaving, "leaving"});
    return true;
}

void fake_endpoint::generate(const std::string& from, const start_generation& asked, time_point now)
{
    if (refuse(from, asked.attempt, now))
    {
        return;
    }
    seen_.executions.push_back({settings_.name, "generate", asked.prompt, {}, now});
    running_[asked.attempt] = {asked.prompt, from, length_of(asked.prompt, settings_.length), 0, 0};
    if (crashes(asked.prompt))
    {
        crash(asked.prompt);
        return;
    }
    answer_(from, attempt_started{asked.attempt});
    schedule_(settings_.token_interval, [this, attempt = asked.attempt] { produce(attempt); });
}

void fake_endpoint::crash(const std::string& prompt)
{
    ++seen_.deaths[prompt];
    schedule_(duration{5}, [this] { die(); });
}

void fake_endpoint::produce(attempt_id attempt)
{
    const auto found = running_.find(attempt);
    if (found == running_.end())
    {
        return;
    }
    running& run = found->second;
    ++run.produced;
    send_tokens(attempt, run);
    if (run.produced < run.length)
    {
        schedule_(settings_.token_interval * slowness_, [this, attempt] { produce(attempt); });
    }
}

void fake_endpoint::send_tokens(attempt_id attempt, running& run)
{
    token_list batch;
    const std::int64_t offset = run.sent;
    for (; run.sent < run.produced; ++run.sent)
    {
        batch.push_back(token_text(run.prompt, attempt.value(), run.sent));
    }
    if (!batch.empty())
    {
        answer_(run.reader, attempt_tokens{attempt, offset, std::move(batch)});
    }
    if (run.produced >= run.length)
    {
        answer_(run.reader, attempt_ended{attempt, run.length});
    }
}

void fake_endpoint::resume(const std::string& from, const resume_generation& asked)
{
    const auto found = running_.find(asked.attempt);
    if (found == running_.end())
    {
        answer_(from, attempt_failed{asked.attempt, attempt_failure::attempt_unknown, "unknown"});
        return;
    }
    found->second.reader = from;
    found->second.sent = std::min(asked.offset, found->second.produced);
    answer_(from, attempt_started{asked.attempt});
    send_tokens(asked.attempt, found->second);
}

void fake_endpoint::cancel(attempt_id attempt)
{
    running_.erase(attempt);
}

void fake_endpoint::call(const std::string& from, const start_call& asked, time_point now)
{
    if (refuse(from, asked.attempt, now))
    {
        return;
    }
    open_calls_[asked.attempt] = from;
    if (crashes(asked.payload))
    {
        seen_.executions.push_back({settings_.name, asked.operation, asked.payload, asked.key, now});
        crash(asked.payload);
        return;
    }
    std::string result = "\"done by " + settings_.name + "\"";
    if (settings_.checks_keys && !asked.key.empty())
    {
        const auto [known, first] = results_by_key_.emplace(asked.key, result);
        result = known->second;
        if (!first)
        {
            open_calls_.erase(asked.attempt);
            answer_(from, call_answered{asked.attempt, result});
            return;
        }
    }
    seen_.executions.push_back({settings_.name, asked.operation, asked.payload, asked.key, now});
    schedule_(settings_.token_interval * slowness_,
              [this, from, attempt = asked.attempt, result]
              {
                  // The endpoint has died meanwhile when the call is no longer open.
                  if (open_calls_.erase(attempt) > 0)
                  {
                      answer_(from, call_answered{attempt, result});
                  }
              });
}

void fake_endpoint::leave(time_point now)
{
    leaving_since_ = now;
}

void fake_endpoint::die()
{
    alive_ = false;
    for (const auto& [attempt, from] : open_calls_)
    {
        answer_(from, attempt_failed{attempt, attempt_failure::link_broken, "died"});
    }
    open_calls_.clear();
    for (const auto& [attempt, run] : running_)
    {
        answer_(run.reader, attempt_failed{attempt, attempt_failure::link_broken, "died"});
    }
    running_.clear();
}

void fake_endpoint::restart()
{
    alive_ = true;
    leaving_since_ = never;
}

load_report fake_endpoint::report(time_point now) const
{
    load_report report;
    report.endpoint = endpoint_id{settings_.name};
    report.as_of = now;
    report.running = static_cast<std::int64_t>(running_.size());
    report.slots = settings_.slots;
    report.memory_capacity = 100'000;
    report.leaving = leaving();
    return report;
}

} // namespace parsleyshift::scenarios
