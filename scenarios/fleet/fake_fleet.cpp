#include "fake_fleet.hpp" // fake_fleet

#include <algorithm>   // max, min
#include <type_traits> // decay_t, is_same_v
#include <utility>     // exchange, move
#include <variant>     // visit

namespace parsleyshift::scenarios
{
namespace
{

constexpr duration poll_interval{250};

attempt_id attempt_of(const event& what)
{
    return std::visit(
        [](const auto& happened)
        {
            if constexpr (requires { happened.attempt; })
            {
                return happened.attempt;
            }
            else
            {
                return attempt_id{};
            }
        },
        what);
}

} // namespace

fake_fleet::fake_fleet(std::uint64_t seed) : random_(seed), seed_(seed) {}

void fake_fleet::later(duration wait, std::function<void()> what)
{
    queue_.push({now_ + std::max(wait, duration{0}), sequence_++, std::move(what)});
}

void fake_fleet::run(duration time)
{
    const time_point end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end)
    {
        const step next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.what();
    }
    now_ = end;
}

void fake_fleet::add_instance(const instance_settings& settings)
{
    instance& added = instances_[settings.name];
    added.settings = settings;
    start(added);
}

void fake_fleet::start(instance& target)
{
    core_settings settings;
    member_update& self = settings.self;
    self.instance = instance_id{target.settings.name};
    self.started = incarnation{++target.incarnation};
    self.peer_address = peer_address_of(target.settings.name);
    self.address = "callers:" + target.settings.name;
    self.availability_zone = zone_id{target.settings.availability_zone};
    self.region = region_id{target.settings.region};
    self.entry_slot = target.settings.entry_slot;
    settings.token_keys = {{"k1", "a secret of at least sixteen bytes"}};
    settings.seed = seed_;
    target.core = std::make_unique<decision_core>(decision_core::make(settings).value());
    target.paused = false;
    target.stopped = false;
    target.waiting.clear();
    target.watched.clear();
    target.timer = never;
    feed(target.settings.name, target.incarnation, timer_expired{});
    later(random_.jittered(duration{1}, 100.0),
          [this, name = target.settings.name, own = target.incarnation] { poll(name, own); });
}

void fake_fleet::feed(const std::string& name, std::uint64_t incarnation, event what)
{
    instance& target = instances_.at(name);
    if (target.core == nullptr || target.incarnation != incarnation)
    {
        return;
    }
    if (target.paused)
    {
        target.waiting.push_back([this, name, incarnation, what = std::move(what)] { feed(name, incarnation, what); });
        return;
    }
    handle(target, what);
}

void fake_fleet::handle(instance& target, const event& what)
{
    std::vector<action> actions;
    target.core->handle(what, now_, actions);
    for (auto& wanted : actions)
    {
        carry_out(target, wanted);
    }
    set_timer(target);
}

void fake_fleet::set_timer(instance& target)
{
    const time_point next = target.core->next_deadline();
    if (next == never || (target.timer > now_ && target.timer <= next))
    {
        return;
    }
    target.timer = std::max(next, now_ + duration{1});
    later(target.timer - now_,
          [this, name = target.settings.name, own = target.incarnation, due = target.timer]
          {
              if (instances_.at(name).timer == due)
              {
                  feed(name, own, timer_expired{});
              }
          });
}

void fake_fleet::poll(const std::string& name, std::uint64_t incarnation)
{
    instance& target = instances_.at(name);
    if (target.core == nullptr || target.incarnation != incarnation)
    {
        return;
    }
    if (!is_cut(name, "list"))
    {
        const auto list = current_list();
        later(list_lag_,
              [this, name, incarnation, as_of = now_, list] {
                  feed(name, incarnation, instances_listed{as_of, list});
              });
    }
    for (const auto& endpoint : target.watched)
    {
        const auto& known = *endpoints_.at(endpoint);
        const bool reachable = known.alive() && !is_cut(name, endpoint) && !is_cut(endpoint, name);
        const event what =
            reachable ? event{load_reported{known.report(now_)}} : event{load_unavailable{endpoint_id{endpoint}}};
        later(duration{2}, [this, name, incarnation, what] { feed(name, incarnation, what); });
    }
    later(poll_interval, [this, name, incarnation] { poll(name, incarnation); });
}

void fake_fleet::add_endpoint(const endpoint_settings& settings)
{
    const auto reply = [this, name = settings.name, region = settings.region](const std::string& to, event&& what)
    {
        const instance& target = instances_.at(to);
        if (!is_cut(name, to))
        {
            later(delay(region, target.settings.region),
                  [this, to, own = target.incarnation, what = std::move(what)] { feed(to, own, what); });
            return;
        }
        // The instance's I/O thread reports once that the link has gone silent.
        const attempt_id attempt = attempt_of(what);
        if (silent_.emplace(to, attempt).second)
        {
            later(silence_timeout,
                  [this, to, own = target.incarnation, attempt]
                  {
                      silent_.erase({to, attempt});
                      feed(to, own, attempt_failed{attempt, attempt_failure::link_broken, "silent"});
                  });
        }
    };
    const auto schedule = [this](duration wait, std::function<void()> what)
    {
        later(wait, std::move(what));
    };
    endpoints_[settings.name] = std::make_unique<fake_endpoint>(settings, seen_, reply, schedule);
}

bool fake_fleet::is_cut(const std::string& from, const std::string& to) const
{
    return cuts_.contains({from, to});
}

duration fake_fleet::delay(const std::string& from_region, const std::string& to_region)
{
    const duration base = from_region == to_region ? links.delay : links.delay_between_regions;
    return links.jitter.count() == 0 ? base
                                     : base + duration{static_cast<std::int64_t>(
                                                  random_.index(static_cast<std::size_t>(links.jitter.count()) + 1))};
}

void fake_fleet::carry_out(instance& from, action& wanted)
{
    const auto act = [&](auto& what)
    {
        using type = std::decay_t<decltype(what)>;
        if constexpr (std::is_same_v<type, start_generation>)
        {
            to_endpoint(from, what.endpoint.value(), what.attempt, what.send_deadline,
                        [this, who = from.settings.name, what](fake_endpoint& at) { at.generate(who, what, now_); });
        }
        else if constexpr (std::is_same_v<type, start_call>)
        {
            to_endpoint(from, what.endpoint.value(), what.attempt, what.send_deadline,
                        [this, who = from.settings.name, what](fake_endpoint& at) { at.call(who, what, now_); });
            later(what.response_deadline - now_,
                  [this, who = from.settings.name, own = from.incarnation, id = what.attempt] {
                      feed(who, own, attempt_failed{id, attempt_failure::link_broken, "no answer in time"});
                  });
        }
        else if constexpr (std::is_same_v<type, resume_generation>)
        {
            to_endpoint(from, what.endpoint.value(), what.attempt, never,
                        [who = from.settings.name, what](fake_endpoint& at) { at.resume(who, what); });
        }
        else if constexpr (std::is_same_v<type, cancel_attempt>)
        {
            to_endpoint(from, what.endpoint.value(), {}, never,
                        [id = what.attempt](fake_endpoint& at) { at.cancel(id); });
        }
        else if constexpr (std::is_same_v<type, send_to_peer>)
        {
            send(from, what);
        }
        else if constexpr (std::is_same_v<type, read_configuration>)
        {
            read(from, what);
        }
        else if constexpr (std::is_same_v<type, watch_endpoint>)
        {
            what.enabled ? static_cast<void>(from.watched.insert(what.endpoint.value()))
                         : static_cast<void>(from.watched.erase(what.endpoint.value()));
        }
        else if constexpr (std::is_same_v<type, stream_started>)
        {
            answer(from, what.request, [&](caller_record& seen) { seen.continuation = what.continuation; });
        }
        else if constexpr (std::is_same_v<type, stream_tokens>)
        {
            answer(from, what.request,
                   [&](caller_record& seen)
                   {
                       seen.broken_order |= what.offset != static_cast<std::int64_t>(seen.tokens.size());
                       seen.tokens.insert(seen.tokens.end(), what.tokens.begin(), what.tokens.end());
                   });
        }
        else if constexpr (std::is_same_v<type, stream_ended>)
        {
            answer(from, what.request,
                   [&](caller_record& seen)
                   {
                       seen.broken_order |= what.count != static_cast<std::int64_t>(seen.tokens.size());
                       seen.end = outcome::completed;
                   });
        }
        else if constexpr (std::is_same_v<type, whole_answer>)
        {
            answer(from, what.request,
                   [&](caller_record& seen)
                   {
                       seen.tokens = what.tokens;
                       seen.end = outcome::completed;
                   });
        }
        else if constexpr (std::is_same_v<type, call_answer>)
        {
            answer(from, what.request,
                   [&](caller_record& seen)
                   {
                       seen.result = what.result;
                       seen.end = outcome::completed;
                   });
        }
        else if constexpr (std::is_same_v<type, key_answer>)
        {
            answer(from, what.request,
                   [&](caller_record& seen)
                   {
                       seen.result = what.key;
                       seen.end = outcome::completed;
                   });
        }
        else if constexpr (std::is_same_v<type, operator_answer>)
        {
            answer(from, what.request, [&](caller_record& seen) { seen.result = what.json; });
        }
        else if constexpr (std::is_same_v<type, request_rejected>)
        {
            answer(from, what.request,
                   [&](caller_record& seen)
                   {
                       seen.end = what.what;
                       seen.why = what.why;
                       seen.settled_after = what.settled_after;
                   });
        }
        else if constexpr (std::is_same_v<type, stop_complete>)
        {
            from.stopped = true;
        }
    };
    std::visit(act, wanted);
}

void fake_fleet::to_endpoint(instance& from, const std::string& endpoint, attempt_id attempt, time_point send_deadline,
                             std::function<void(fake_endpoint&)> what)
{
    const std::string name = from.settings.name;
    const std::uint64_t own = from.incarnation;
    fake_endpoint& target = *endpoints_.at(endpoint);
    const auto fail = [this, name, own, attempt](attempt_failure why)
    {
        feed(name, own, attempt_failed{attempt, why, {}});
    };
    if (now_ > send_deadline)
    {
        later(duration{0}, [fail] { fail(attempt_failure::deadline_passed); });
        return;
    }
    if (is_cut(name, endpoint) || !target.alive())
    {
        later(is_cut(name, endpoint) ? silence_timeout : duration{1},
              [fail] { fail(attempt_failure::connect_failed); });
        return;
    }
    if (is_cut(endpoint, name))
    {
        // The request arrives, the answer does not.
        later(silence_timeout, [fail] { fail(attempt_failure::link_broken); });
    }
    later(delay(from.settings.region, target.settings().region),
          [&target, what, fail]
          {
              if (!target.alive())
              {
                  fail(attempt_failure::link_broken);
                  return;
              }
              what(target);
          });
}

void fake_fleet::send(instance& from, const send_to_peer& message)
{
    const auto found = instances_.find(message.to.value());
    if (found == instances_.end() || is_cut(from.settings.name, message.to.value()))
    {
        return;
    }
    peer_envelope envelope;
    envelope.sender = instance_id{from.settings.name};
    envelope.started = incarnation{from.incarnation};
    envelope.peer_address = peer_address_of(from.settings.name);
    envelope.highest_revision = from.core->highest_revision();
    envelope.message = message.message;
    int copies = random_.fraction() < links.loss ? 0 : 1;
    copies += random_.fraction() < links.duplication ? 1 : 0;
    for (; copies > 0; --copies)
    {
        // A message reaches whichever process listens at the address when it arrives.
        later(delay(from.settings.region, found->second.settings.region), [this, to = found->first, envelope]
              { feed(to, instances_.at(to).incarnation, peer_received{envelope}); });
    }
}

void fake_fleet::kill(const std::string& name)
{
    if (const auto endpoint = endpoints_.find(name); endpoint != endpoints_.end())
    {
        endpoint->second->die();
        return;
    }
    instance& target = instances_.at(name);
    target.core.reset();
    target.waiting.clear();
}

void fake_fleet::restart(const std::string& name)
{
    if (const auto endpoint = endpoints_.find(name); endpoint != endpoints_.end())
    {
        endpoint->second->restart();
        return;
    }
    start(instances_.at(name));
}

void fake_fleet::pause(const std::string& name)
{
    instances_.at(name).paused = true;
}

void fake_fleet::wake(const std::string& name)
{
    instance& target = instances_.at(name);
    target.paused = false;
    auto waiting = std::move(target.waiting);
    target.waiting.clear();
    for (const auto& deliver : waiting)
    {
        deliver();
    }
}

void fake_fleet::cut(const std::string& from, const std::string& to)
{
    cuts_.insert({from, to});
}

void fake_fleet::heal()
{
    cuts_.clear();
}

void fake_fleet::leave(const std::string& endpoint)
{
    endpoints_.at(endpoint)->leave(now_);
}

void fake_fleet::slow_down(const std::string& endpoint, int factor)
{
    endpoints_.at(endpoint)->set_slowness(factor);
}

void fake_fleet::plan_stop(const std::string& name)
{
    feed(name, instances_.at(name).incarnation, stop_requested{});
}

std::uint64_t fake_fleet::ask(const std::string& name, const std::string& what, const std::string& key,
                              const std::function<event(request_id)>& make)
{
    const std::uint64_t caller = ++next_request_;
    caller_record& record = seen_.callers[caller];
    record.what = what;
    record.key = key;
    record.asked = now_;
    instance& target = instances_.at(name);
    target.caller_of[caller] = caller;
    feed(name, target.incarnation, make(request_id{caller}));
    return caller;
}

std::uint64_t fake_fleet::generate(const std::string& name, generation_request asked)
{
    return ask(name, asked.prompt, {},
               [&](request_id id)
               {
                   asked.request = id;
                   return asked;
               });
}

std::uint64_t fake_fleet::call(const std::string& name, call_request asked)
{
    return ask(name, asked.payload, {},
               [&](request_id id)
               {
                   asked.request = id;
                   return asked;
               });
}

std::uint64_t fake_fleet::order(const std::string& name, order_request asked)
{
    return ask(name, asked.payload, asked.key,
               [&](request_id id)
               {
                   asked.request = id;
                   return asked;
               });
}

std::uint64_t fake_fleet::mint(const std::string& name, const std::string& customer, const std::string& service)
{
    return ask(name, "mint", {},
               [&](request_id id) {
                   return key_request{id, customer_id{customer}, service_id{service}};
               });
}

void fake_fleet::disconnect(std::uint64_t request)
{
    for (auto& [name, known] : instances_)
    {
        for (auto entry = known.caller_of.begin(); entry != known.caller_of.end();)
        {
            if (entry->second != request)
            {
                ++entry;
                continue;
            }
            const request_id id{entry->first};
            entry = known.caller_of.erase(entry);
            feed(name, known.incarnation, caller_disconnected{id});
        }
    }
}

void fake_fleet::resume(std::uint64_t request, const std::string& name)
{
    disconnect(request);
    caller_record& record = seen_.callers.at(request);
    record.end.reset();
    instance& target = instances_.at(name);
    const request_id id{++next_request_};
    target.caller_of[id.value()] = request;
    feed(name, target.incarnation,
         resume_request{id, record.continuation, static_cast<std::int64_t>(record.tokens.size())});
}

void fake_fleet::answer(instance& from, request_id request, const std::function<void(caller_record&)>& what)
{
    const auto found = from.caller_of.find(request.value());
    if (found == from.caller_of.end())
    {
        return;
    }
    caller_record& record = seen_.callers.at(found->second);
    what(record);
    record.ended = now_;
}

const caller_record& fake_fleet::caller(std::uint64_t request) const
{
    return seen_.callers.at(request);
}

std::string fake_fleet::view(const std::string& name, operator_view what)
{
    instance& target = instances_.at(name);
    const request_id id{++next_request_};
    caller_record answer_record;
    seen_.callers[id.value()] = answer_record;
    target.caller_of[id.value()] = id.value();
    feed(name, target.incarnation, operator_query{id, what, {}, {}});
    std::string result = seen_.callers.at(id.value()).result;
    seen_.callers.erase(id.value());
    target.caller_of.erase(id.value());
    return result;
}

std::string fake_fleet::records_of(const std::string& name)
{
    return view(name, operator_view::records);
}

bool fake_fleet::in_force(const std::string& name, const std::string& kind, const std::string& record)
{
    const raw_record& written = records_.at(kind + "/" + record);
    const std::string records = records_of(name);
    const std::string named = "\"kind\":\"" + kind + "\",\"name\":\"" + record + "\",\"revision\":";
    const auto found = records.find(named);
    if (written.withdrawn)
    {
        return found == std::string::npos;
    }
    return found != std::string::npos && std::stoull(records.substr(found + named.size())) == written.changed.value();
}

bool fake_fleet::stopped(const std::string& name) const
{
    return instances_.at(name).stopped;
}

bool fake_fleet::alive(const std::string& name) const
{
    return instances_.at(name).core != nullptr;
}

std::vector<std::string> fake_fleet::instances() const
{
    std::vector<std::string> names;
    for (const auto& [name, known] : instances_)
    {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> fake_fleet::endpoints() const
{
    std::vector<std::string> names;
    for (const auto& [name, known] : endpoints_)
    {
        names.push_back(name);
    }
    return names;
}

} // namespace parsleyshift::scenarios
