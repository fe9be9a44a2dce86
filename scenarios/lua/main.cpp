// Runs scenario files: Lua scripts that drive a fake fleet in virtual time. Exit code 0: all hold.

#include "fake_fleet.hpp" // fake_fleet

#include <lua.hpp> // lua_State

#include <cstdint>   // uint64_t
#include <exception> // exception
#include <iostream>  // cout, cerr
#include <memory>    // unique_ptr
#include <stdexcept> // runtime_error
#include <string>    // string

namespace
{

using namespace parsleyshift;
using scenarios::fake_fleet;

constexpr std::uint64_t fixed_seed = 20261204;

fake_fleet& fleet_of(lua_State* lua)
{
    return **static_cast<fake_fleet**>(lua_getextraspace(lua));
}

std::string text(lua_State* lua, int index)
{
    return luaL_checkstring(lua, index);
}

/// A field of the table that is the only argument, or the default.
std::string field(lua_State* lua, const char* name, const std::string& otherwise)
{
    lua_getfield(lua, 1, name);
    const std::string value = lua_isnil(lua, -1) ? otherwise : luaL_checkstring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

std::int64_t number(lua_State* lua, const char* name, std::int64_t otherwise)
{
    lua_getfield(lua, 1, name);
    const std::int64_t value = lua_isnil(lua, -1) ? otherwise : luaL_checkinteger(lua, -1);
    lua_pop(lua, 1);
    return value;
}

bool flag(lua_State* lua, const char* name)
{
    lua_getfield(lua, 1, name);
    const bool value = lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    return value;
}

const scenarios::caller_record& caller(lua_State* lua)
{
    return fleet_of(lua).caller(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
}

int push_request(lua_State* lua, std::uint64_t request)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(request));
    return 1;
}

int instance(lua_State* lua)
{
    fleet_of(lua).add_instance({field(lua, "name", ""), field(lua, "zone", "ikeja"), field(lua, "region", "lagos"),
                                static_cast<int>(number(lua, "slot", -1))});
    return 0;
}

int endpoint(lua_State* lua)
{
    scenarios::endpoint_settings settings;
    settings.name = field(lua, "name", "");
    settings.service = field(lua, "service", "");
    settings.availability_zone = field(lua, "zone", "ikeja");
    settings.region = field(lua, "region", "lagos");
    settings.engine = !flag(lua, "plain");
    settings.checks_keys = flag(lua, "checks_keys");
    settings.slots = number(lua, "slots", settings.slots);
    settings.length = number(lua, "length", settings.length);
    fleet_of(lua).add_endpoint(settings);
    return 0;
}

int record(lua_State* lua)
{
    fleet_of(lua).write_record(text(lua, 1), text(lua, 2), static_cast<int>(luaL_checkinteger(lua, 3)), text(lua, 4));
    return 0;
}

int withdraw(lua_State* lua)
{
    fleet_of(lua).withdraw_record(text(lua, 1), text(lua, 2));
    return 0;
}

int run(lua_State* lua)
{
    fleet_of(lua).run(duration{luaL_checkinteger(lua, 1)});
    return 0;
}

template <void (fake_fleet::*Fault)(const std::string&)>
int fault(lua_State* lua)
{
    (fleet_of(lua).*Fault)(text(lua, 1));
    return 0;
}

int cut(lua_State* lua)
{
    fleet_of(lua).cut(text(lua, 1), text(lua, 2));
    return 0;
}

int heal(lua_State* lua)
{
    fleet_of(lua).heal();
    return 0;
}

int slow(lua_State* lua)
{
    fleet_of(lua).slow_down(text(lua, 1), static_cast<int>(luaL_checkinteger(lua, 2)));
    return 0;
}

int stale(lua_State* lua)
{
    fleet_of(lua).set_stale_configuration(lua_toboolean(lua, 1) != 0);
    return 0;
}

int list_lag(lua_State* lua)
{
    fleet_of(lua).set_list_lag(duration{luaL_checkinteger(lua, 1)});
    return 0;
}

int generate(lua_State* lua)
{
    generation_request asked;
    asked.customer = customer_id{field(lua, "customer", "club")};
    asked.service = service_id{field(lua, "service", "plan-writers")};
    asked.work_class = class_id{field(lua, "class", "")};
    asked.prompt = field(lua, "prompt", "plan");
    asked.delivery_mode = flag(lua, "whole") ? delivery::whole : delivery::stream;
    return push_request(lua, fleet_of(lua).generate(field(lua, "at", ""), asked));
}

int call(lua_State* lua)
{
    call_request asked;
    asked.customer = customer_id{field(lua, "customer", "club")};
    asked.service = service_id{field(lua, "service", "yard-desk")};
    asked.operation = field(lua, "operation", "lookup");
    asked.payload = field(lua, "payload", "{}");
    return push_request(lua, fleet_of(lua).call(field(lua, "at", ""), asked));
}

int mint(lua_State* lua)
{
    fake_fleet& fleet = fleet_of(lua);
    const auto request = fleet.mint(field(lua, "at", ""), "club", field(lua, "service", "yard-desk"));
    lua_pushstring(lua, fleet.caller(request).result.c_str());
    return 1;
}

int order(lua_State* lua)
{
    order_request asked;
    asked.customer = customer_id{"club"};
    asked.service = service_id{field(lua, "service", "yard-desk")};
    asked.operation = field(lua, "operation", "paint_order");
    asked.payload = field(lua, "payload", "{}");
    asked.key = field(lua, "key", "");
    return push_request(lua, fleet_of(lua).order(field(lua, "at", ""), asked));
}

int resume(lua_State* lua)
{
    fleet_of(lua).resume(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)), text(lua, 2));
    return 0;
}

int outcome_of(lua_State* lua)
{
    const auto& end = caller(lua).end;
    lua_pushstring(lua, end ? std::string{name_of(*end)}.c_str() : "none");
    return 1;
}

int kind_of_error(lua_State* lua)
{
    const auto& why = caller(lua).why;
    lua_pushstring(lua, why ? std::string{name_of(why->kind)}.c_str() : "none");
    return 1;
}

int tokens(lua_State* lua)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(caller(lua).tokens.size()));
    return 1;
}

int executions(lua_State* lua)
{
    const std::string wanted = text(lua, 1);
    lua_Integer count = 0;
    for (const auto& execution : fleet_of(lua).seen().executions)
    {
        count += execution.key == wanted || execution.payload == wanted ? 1 : 0;
    }
    lua_pushinteger(lua, count);
    return 1;
}

int in_force(lua_State* lua)
{
    lua_pushboolean(lua, fleet_of(lua).in_force(text(lua, 1), text(lua, 2), text(lua, 3)) ? 1 : 0);
    return 1;
}

int records_of(lua_State* lua)
{
    lua_pushstring(lua, fleet_of(lua).records_of(text(lua, 1)).c_str());
    return 1;
}

int stopped(lua_State* lua)
{
    lua_pushboolean(lua, fleet_of(lua).stopped(text(lua, 1)) ? 1 : 0);
    return 1;
}

int configuration_calls(lua_State* lua)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(fleet_of(lua).configuration_calls()));
    return 1;
}

struct binding
{
    const char* name;
    lua_CFunction function;
};

constexpr binding bindings[] = {{"instance", instance},
                                {"endpoint", endpoint},
                                {"record", record},
                                {"withdraw", withdraw},
                                {"run", run},
                                {"kill", fault<&fake_fleet::kill>},
                                {"restart", fault<&fake_fleet::restart>},
                                {"pause", fault<&fake_fleet::pause>},
                                {"wake", fault<&fake_fleet::wake>},
                                {"leave", fault<&fake_fleet::leave>},
                                {"plan_stop", fault<&fake_fleet::plan_stop>},
                                {"cut", cut},
                                {"heal", heal},
                                {"slow", slow},
                                {"stale", stale},
                                {"list_lag", list_lag},
                                {"generate", generate},
                                {"call", call},
                                {"mint", mint},
                                {"order", order},
                                {"resume", resume},
                                {"outcome", outcome_of},
                                {"kind", kind_of_error},
                                {"tokens", tokens},
                                {"executions", executions},
                                {"in_force", in_force},
                                {"records", records_of},
                                {"stopped", stopped},
                                {"configuration_calls", configuration_calls}};

/// Runs one file; throws what the script reports.
void run_file(const std::string& path, fake_fleet& fleet)
{
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), &lua_close);
    luaL_openlibs(lua.get());
    *static_cast<fake_fleet**>(lua_getextraspace(lua.get())) = &fleet;
    for (const auto& each : bindings)
    {
        lua_register(lua.get(), each.name, each.function);
    }
    if (luaL_dofile(lua.get(), path.c_str()) != LUA_OK)
    {
        throw std::runtime_error(lua_tostring(lua.get(), -1));
    }
}

bool holds(const std::string& path)
{
    fake_fleet fleet(fixed_seed);
    try
    {
        run_file(path, fleet);
    }
    catch (const std::exception& problem)
    {
        std::cout << path << ": " << problem.what() << '\n';
        return false;
    }
    const auto broken = scenarios::broken_promises(fleet.seen());
    for (const auto& line : broken)
    {
        std::cout << path << ": " << line << '\n';
    }
    return broken.empty();
}

} // namespace

int main(int argc, char** argv)
{
    int failed = 0;
    for (int index = 1; index < argc; ++index)
    {
        failed += holds(argv[index]) ? 0 : 1;
    }
    std::cout << argc - 1 - failed << " passed, " << failed << " failed\n";
    return failed == 0 && argc > 1 ? 0 : 1;
}
