#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/routing/route_index.hpp> // route_index

#include <string> // string

using namespace parsleyshift;

namespace
{

route make_route(const std::string& host, const std::string& prefix)
{
    route result;
    result.name = host + prefix;
    result.host = host;
    result.path_prefix = prefix;
    result.targets = {{service_id{"s"}, 1.0}};
    return result;
}

std::string matched_route(const route_index& routes, std::string_view host, std::string_view path)
{
    const route* match = routes.find(host, path);
    return match == nullptr ? "none" : match->name;
}

} // namespace

TEST_GROUP(route_index){};

// Guards against routing a request by a shorter prefix than the longest match or by a route of another host.
TEST(route_index, finds_longest_prefix_of_host)
{
    forwarding_configuration configuration;
    configuration.routes = {make_route("a.example", "/"), make_route("a.example", "/x/"),
                            make_route("a.example", "/x/y/"), make_route("b.example", "/x/")};
    const route_index routes{configuration};
    STRCMP_EQUAL("a.example/x/y/", matched_route(routes, "a.example", "/x/y/z").c_str());
    STRCMP_EQUAL("a.example/x/", matched_route(routes, "a.example", "/x/y").c_str());
    STRCMP_EQUAL("a.example/", matched_route(routes, "a.example", "/xy/z").c_str());
    STRCMP_EQUAL("b.example/x/", matched_route(routes, "B.Example:8080", "/x/").c_str());
    STRCMP_EQUAL("none", matched_route(routes, "b.example", "/y/").c_str());
    STRCMP_EQUAL("none", matched_route(routes, "c.example", "/x/").c_str());
    STRCMP_EQUAL("none", matched_route(routes, "b.example", "").c_str());
}

// Guards against lookups by path segment that differ from a linear search for the longest matching prefix.
TEST(route_index, matches_linear_search_for_longest_prefix)
{
    test_support::check_property(
        "find() returns the route with the longest matching prefix",
        [](const std::vector<std::vector<bool>>& prefixes, const std::vector<bool>& requested_parts)
        {
            const auto to_path = [](const std::vector<bool>& parts)
            {
                std::string path = "/";
                for (const bool part : parts)
                {
                    path += part ? "a/" : "b/";
                }
                return path;
            };
            forwarding_configuration configuration;
            std::string expected;
            const std::string path = to_path(requested_parts) + "end";
            for (const auto& prefix : prefixes)
            {
                configuration.routes.push_back(make_route("h", to_path(prefix)));
                const std::string& candidate = configuration.routes.back().path_prefix;
                if (path.starts_with(candidate) && candidate.size() > expected.size())
                {
                    expected = candidate;
                }
            }
            const route_index routes{configuration};
            const route* match = routes.find("h", path);
            RC_ASSERT((match == nullptr ? std::string{} : match->path_prefix) == expected);
        });
}

// Guards against a key that is assigned to the wrong customer or priority.
TEST(route_index, finds_holder_of_key)
{
    forwarding_configuration configuration;
    configuration.customers.emplace() = {{customer_id{"c1"}, {"k1", "k2"}, 3},
                                         {customer_id{"c2"}, {"k3"}, std::nullopt}};
    const route_index routes{configuration};
    CHECK(routes.requires_key());
    STRCMP_EQUAL("c1", routes.holder_of("k2")->customer.value().c_str());
    LONGS_EQUAL(3, *routes.holder_of("k1")->priority);
    STRCMP_EQUAL("c2", routes.holder_of("k3")->customer.value().c_str());
    POINTERS_EQUAL(nullptr, routes.holder_of("k4"));
    POINTERS_EQUAL(nullptr, routes.holder_of(""));
}

// Guards against requests without a valid key that are let in because the list of customers has become empty.
TEST(route_index, requires_a_key_when_the_list_of_customers_is_empty)
{
    forwarding_configuration configuration;
    CHECK_FALSE(route_index{configuration}.requires_key());
    configuration.customers.emplace();
    CHECK_TRUE(route_index{configuration}.requires_key());
}

// Guards against a traffic split that sends requests to a target of weight 0, or all requests to one target.
TEST(route_index, draws_targets_by_weight)
{
    route weighted_route = make_route("h", "/");
    weighted_route.targets = {{service_id{"most"}, 90}, {service_id{"few"}, 10}, {service_id{"none"}, 0}};
    random_source random{7};
    int small_share_count = 0;
    for (int draw_index = 0; draw_index < 1'000; ++draw_index)
    {
        const route_target* target = route_index::draw(weighted_route, random);
        CHECK(target->service != service_id{"none"});
        small_share_count += target->service == service_id{"few"} ? 1 : 0;
    }
    CHECK(small_share_count > 50 && small_share_count < 150);
    weighted_route.targets.clear();
    POINTERS_EQUAL(nullptr, route_index::draw(weighted_route, random));
}
