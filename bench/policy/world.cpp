#include "world.hpp" // world

#include <algorithm> // min
#include <string>    // to_string
#include <utility>   // move

namespace parsleyshift::bench
{

namespace
{

// A gap between two tokens counts as a stall beyond this time; about eight steps of a full batch.
constexpr microseconds stall_threshold = 250'000;
constexpr std::size_t longest_gap_ms = 60'000;

} // namespace

world::world(const deployment& where, scenario what, std::vector<job> jobs)
    : where_(where), what_(what), jobs_(std::move(jobs)), gaps_(longest_gap_ms + 1)
{
    for (std::size_t pool = 0; pool < pool_count; ++pool)
    {
        engines_[pool].assign(where.engines[pool], engine_model{where.shapes[pool]});
        stepping_[pool].assign(where.engines[pool], false);
    }
}

void world::after(microseconds delay, std::function<void()> call)
{
    calls_.push(timed_call{now_ + delay, ++sequence_, std::move(call)});
}

void world::send(job& work, std::size_t engine, int priority)
{
    if (work.state != job_state::waiting)
    {
        return;
    }
    work.state = job_state::sent;
    work.engine = engine;
    after(where_.delay(zone_of(work.entry), zone_of(engine)),
          [this, &work, engine, priority]
          {
              if (work.state == job_state::sent)
              {
                  engines_[work.pool][engine].accept(work, priority);
                  start_step(work.pool, engine);
              }
          });
}

void world::refuse(job& work)
{
    if (work.state == job_state::waiting)
    {
        false_not_run_ += work.reached_engine ? 1 : 0;
        end(work, job_state::refused);
    }
}

load_report world::report_of(std::size_t pool, std::size_t engine) const
{
    const engine_model& model = engines_[pool][engine];
    load_report report;
    report.endpoint = endpoint_id{std::to_string(engine)};
    report.as_of = clock();
    report.running = static_cast<std::int64_t>(model.running().size());
    report.waiting = static_cast<std::int64_t>(model.waiting());
    report.slots = model.shape().slots;
    report.memory_used = model.memory_used();
    report.memory_capacity = model.shape().memory;
    return report;
}

void world::run(const std::function<void(job&)>& arrived, std::function<void(job&)> ended,
                std::function<void(std::size_t, std::size_t, microseconds)> stepped)
{
    ended_ = std::move(ended);
    stepped_ = std::move(stepped);
    open_ = jobs_.size();
    for (job& work : jobs_)
    {
        after(work.arrived + caller_delay,
              [this, &work, &arrived]
              {
                  arrived(work);
                  after(work.start_by - now_, [this, &work] { give_up(work, work.start_by); });
                  after(work.finish_by - now_, [this, &work] { give_up(work, work.finish_by); });
              });
    }
    while (open_ > 0 && !calls_.empty())
    {
        timed_call next = calls_.top();
        calls_.pop();
        now_ = next.at;
        next.call();
    }
}

void world::start_step(std::size_t pool, std::size_t engine)
{
    if (stepping_[pool][engine])
    {
        return;
    }
    engine_model& model = engines_[pool][engine];
    model.set_speed(speed_of(what_, engine, engines_[pool].size(), now_));
    const microseconds took = model.begin_step();
    if (took > 0)
    {
        stepping_[pool][engine] = true;
        after(took, [this, pool, engine, took] { finish_step(pool, engine, took); });
    }
}

void world::finish_step(std::size_t pool, std::size_t engine, microseconds took)
{
    stepping_[pool][engine] = false;
    engine_model& model = engines_[pool][engine];
    for (job* work : model.end_step())
    {
        note_token(*work);
    }
    stepped_(pool, engine, took);
    for (job* work : model.take_finished())
    {
        // The last token reaches the caller after the way back.
        work->finished = now_ + where_.delay(zone_of(engine), zone_of(work->entry)) + caller_delay;
        end(*work, job_state::completed);
    }
    start_step(pool, engine);
}

void world::note_token(job& work)
{
    if (work.first_token == 0)
    {
        work.first_token = now_ + where_.delay(zone_of(work.engine), zone_of(work.entry)) + caller_delay;
    }
    else
    {
        const microseconds gap = now_ - work.last_token;
        work.stalled += std::max<microseconds>(gap - stall_threshold, 0);
        if (work.arrived >= warm_up)
        {
            ++gaps_[std::min(static_cast<std::size_t>(gap / one_ms), longest_gap_ms)];
        }
    }
    work.last_token = now_;
}

void world::give_up(job& work, microseconds deadline)
{
    const bool open = work.state == job_state::waiting || work.state == job_state::sent;
    const bool started_in_time = deadline == work.start_by && work.first_token != 0;
    if (open && !started_in_time)
    {
        end(work, job_state::abandoned);
    }
}

void world::end(job& work, job_state state)
{
    if (work.state == job_state::sent && state != job_state::completed)
    {
        engines_[work.pool][work.engine].cancel(work);
    }
    work.state = state;
    --open_;
    ended_(work);
}

} // namespace parsleyshift::bench
