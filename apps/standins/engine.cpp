#include "endpoint.hpp"     // registration, announce
#include "engine_model.hpp" // engine_model
#include "http_server.hpp"  // serve, exchange
#include "standin.hpp"      // run_engine

#include <parsleyshift/client/json_member.hpp> // member_or

#include <cstdlib>  // quick_exit
#include <iostream> // cout
#include <memory>   // shared_ptr
#include <thread>   // thread

namespace parsleyshift::standins
{
namespace
{

std::string attempt_of(const nlohmann::json& request)
{
    const auto found = request.is_object() ? request.find("attempt") : request.end();
    if (!request.is_object() || found == request.end())
    {
        return "";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Writes tokens as they come; a cancelled generation ends with an error in place of the end marker.
void send_tokens(engine_model& model, exchange& call, const std::string& attempt, std::size_t offset)
{
    generation_view view = model.await(attempt, offset);
    if (!view.known)
    {
        call.reply(404, {{"error", "the attempt is not known"}});
        return;
    }
    if (!call.begin_lines())
    {
        return;
    }
    while (view.known)
    {
        if (!view.tokens.empty() && !call.line({{"offset", offset}, {"tokens", view.tokens}}))
        {
            return;
        }
        offset += view.tokens.size();
        if (view.cancelled)
        {
            call.line({{"error", "cancelled"}});
            break;
        }
        if (view.finished)
        {
            call.line({{"end", true}, {"count", view.total}});
            break;
        }
        view = model.await(attempt, offset);
    }
    call.end_lines();
}

void generate(engine_model& model, exchange& call)
{
    const nlohmann::json request = call.body();
    const std::string attempt = attempt_of(request);
    if (attempt.empty() || !request.contains("prompt"))
    {
        call.reply(400, {{"message", "attempt and prompt are needed"}, {"not_started", true}});
        return;
    }
    if (const auto refused = model.submit(attempt, request))
    {
        call.reply(503, {{"not_started", true}, {"leaving", *refused == "leaving"}, {"message", *refused}});
        return;
    }
    send_tokens(model, call, attempt, 0);
}

/// Faults for tests: slow, pause, leave, die.
void administer(engine_model& model, exchange& call, const std::function<void()>& leave)
{
    const nlohmann::json request = call.body();
    const std::string action = member_or<std::string>(request, "action", "");
    if (action == "slow")
    {
        model.set_slow(member_or<double>(request, "factor", 1));
    }
    else if (action == "pause")
    {
        model.pause_for(member_or<std::int64_t>(request, "ms", 1'000));
    }
    else if (action == "leave")
    {
        leave();
    }
    else if (action == "die")
    {
        std::quick_exit(70);
    }
    else
    {
        call.reply(400, {{"error", "action must be slow, pause, leave or die"}});
        return;
    }
    call.reply(200, {{"done", action}});
}

void handle(engine_model& model, exchange& call, const std::function<void()>& leave)
{
    const std::string attempt = call.path_after("/generations/");
    if (call.is("POST", "/generate"))
    {
        generate(model, call);
    }
    else if (!attempt.empty() && call.method() == "GET")
    {
        const auto offset = std::max<std::int64_t>(call.query_number("offset", 0), 0);
        send_tokens(model, call, attempt, static_cast<std::size_t>(offset));
    }
    else if (!attempt.empty() && call.method() == "DELETE")
    {
        const bool known = model.cancel(attempt);
        call.reply(known ? 200 : 404, {{"cancelled", known}});
    }
    else if (call.is("GET", "/load"))
    {
        call.reply(200, model.load_report());
    }
    else if (call.is("GET", "/cache-events"))
    {
        call.reply(200, model.cache_events(call.query_number("after", 0)));
    }
    else if (call.is("GET", "/counts"))
    {
        call.reply(200, model.counts());
    }
    else if (call.is("POST", "/orders"))
    {
        const nlohmann::json answer = model.order(call.body());
        call.reply(answer.at("accepted").get<bool>() ? 200 : 409, answer);
    }
    else if (call.is("POST", "/admin"))
    {
        administer(model, call, leave);
    }
    else
    {
        call.reply(404, {{"error", "no such call"}});
    }
}

engine_options read_engine_options(const cxxopts::ParseResult& parsed)
{
    engine_options options;
    options.id = parsed["id"].as<std::string>();
    options.slots = parsed["slots"].as<int>();
    options.memory = parsed["memory"].as<std::int64_t>();
    options.step_ms = parsed["step-ms"].as<double>();
    options.step_growth = parsed["step-growth"].as<double>();
    options.load_lag_ms = parsed["load-lag-ms"].as<std::int64_t>();
    options.cache_lag_ms = parsed["cache-lag-ms"].as<std::int64_t>();
    options.cache_gap = parsed["cache-gap"].as<int>();
    options.keep_ms = parsed["keep-ms"].as<std::int64_t>();
    options.load_ms = parsed["load-ms"].as<std::int64_t>();
    options.ignores_fencing = parsed["ignore-fencing"].as<bool>();
    if (parsed.count("models") != 0)
    {
        options.models = parsed["models"].as<std::vector<std::string>>();
    }
    return options;
}

} // namespace

int run_engine(int argc, char** argv)
{
    cxxopts::Options options{"standins engine", "An engine that batches continuously"};
    add_endpoint_options(options);
    auto add = options.add_options();
    add("slots", "generations in one batch", cxxopts::value<int>()->default_value("16"));
    add("memory", "tokens of context and output that fit", cxxopts::value<std::int64_t>()->default_value("40000"));
    add("step-ms", "milliseconds of one decode step", cxxopts::value<double>()->default_value("8"));
    add("step-growth", "growth of a step for each generation", cxxopts::value<double>()->default_value("0.06"));
    add("load-lag-ms", "age of load reports", cxxopts::value<std::int64_t>()->default_value("200"));
    add("cache-lag-ms", "delay of cache events", cxxopts::value<std::int64_t>()->default_value("100"));
    add("cache-gap", "every n-th cache event is lost; 0: none", cxxopts::value<int>()->default_value("7"));
    add("keep-ms", "time for which ended generations are kept", cxxopts::value<std::int64_t>()->default_value("60000"));
    add("load-ms", "time to load a model", cxxopts::value<std::int64_t>()->default_value("500"));
    add("ignore-fencing", "accept orders with an old fencing number");
    add("models", "models loaded at the start; none: any model runs", cxxopts::value<std::vector<std::string>>());
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto model = std::make_shared<engine_model>(read_engine_options(parsed));
    auto self = std::make_shared<registration>(read_registration(parsed, "engine"));
    const long notice_ms = parsed["leave-ms"].as<long>();
    const auto leave = [model, self, notice_ms]
    {
        model->leave();
        announce(*self, "leaving");
        if (notice_ms > 0)
        {
            exit_after(notice_ms);
        }
    };
    std::thread{[model]
                {
                    model->run();
                }}
        .detach();
    const auto ready = [self](const std::string& bound)
    {
        self->address = bound;
        announce(*self, "live");
    };
    return serve("engine", parsed["address"].as<std::string>(),
                 {[model, leave](exchange& call) { handle(*model, call, leave); }, ready, leave});
}

} // namespace parsleyshift::standins
