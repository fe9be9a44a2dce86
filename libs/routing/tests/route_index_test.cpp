#include <parsleyshift/test_support/property.hpp> // check_property

#include <parsleyshift/routing/route_index.hpp> // route_index

#include <string> // string

using namespace parsleyshift;

namespace
{

route made_route(const std::string& host, const std::string& prefix)
{
    route made;
    made.name = host + prefix;
    made.host = host;
    made.path_prefix = prefix;
    made.targets = {{service_id{"s"}, 1.0}};
    return made;
}

std::string found(const route_index& routes, std::string_view host, std::string_view path)
{
    const route* where = routes.find(host, path);
    return where == nullptr ? "none" : where->name;
}

} // namespace

TEST_GROUP(route_index){};

// Guards against a request that runs at the service of a shorter prefix or of another host.
TEST(route_index, finds_the_longest_prefix_of_the_host)
{
    forwarding_configuration configuration;
    configuration.routes = {made_route("a.example", "/"), made_route("a.example", "/x/"),
                            made_route("a.example", "/x/y/"), made_route("b.example", "/x/")};
    const route_index routes{configuration};
    STRCMP_EQUAL("a.example/x/y/", found(routes, "a.example", "/x/y/z").c_str());
    STRCMP_EQUAL("a.example/x/", found(routes, "a.example", "/x/y").c_str());
    STRCMP_EQUAL("a.example/", found(routes, "a.example", "/xy/z").c_str());
    STRCMP_EQUAL("b.example/x/", found(routes, "B.Example:8080", "/x/").c_str());
    STRCMP_EQUAL("none", found(routes, "b.example", "/y/").c_str());
    STRCMP_EQUAL("none", found(routes, "c.example", "/x/").c_str());
    STRCMP_EQUAL("none", found(routes, "b.example", "").c_str());
}

// Guards against an index that differs from the plain definition of the longest prefix.
TEST(route_index, agrees_with_a_search_of_all_prefixes)
{
    test_support::check_property("the longest prefix wins",
                                 [](const std::vector<std::vector<bool>>& prefixes, const std::vector<bool>& asked)
                                 {
                                     const auto text = [](const std::vector<bool>& parts)
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
                                     const std::string path = text(asked) + "end";
                                     for (const auto& prefix : prefixes)
                                     {
                                         configuration.routes.push_back(made_route("h", text(prefix)));
                                         const std::string& known = configuration.routes.back().path_prefix;
                                         if (path.starts_with(known) && known.size() > expected.size())
                                         {
                                             expected = known;
                                         }
                                     }
                                     const route_index routes{configuration};
                                     const route* where = routes.find("h", path);
                                     RC_ASSERT((where == nullptr ? std::string{} : where->path_prefix) == expected);
                                 });
}

// Guards against keys that are mixed up between customers.
TEST(route_index, finds_the_holder_of_a_key)
{
    forwarding_configuration configuration;
    configuration.customers = {{customer_id{"c1"}, {"k1", "k2"}, 3}, {customer_id{"c2"}, {"k3"}, std::nullopt}};
    const route_index routes{configuration};
    CHECK(routes.has_customers());
    STRCMP_EQUAL("c1", routes.holder_of("k2")->customer.value().c_str());
    LONGS_EQUAL(3, *routes.holder_of("k1")->priority);
    STRCMP_EQUAL("c2", routes.holder_of("k3")->customer.value().c_str());
    POINTERS_EQUAL(nullptr, routes.holder_of("k4"));
    POINTERS_EQUAL(nullptr, routes.holder_of(""));
}

// Guards against a split that sends requests to a service of weight 0, or all of them to one.
TEST(route_index, draws_targets_by_weight)
{
    route split = made_route("h", "/");
    split.targets = {{service_id{"most"}, 90}, {service_id{"few"}, 10}, {service_id{"none"}, 0}};
    random_source random{7};
    int few = 0;
    for (int drawn = 0; drawn < 1'000; ++drawn)
    {
        const route_target* target = route_index::draw(split, random);
        CHECK(target->service != service_id{"none"});
        few += target->service == service_id{"few"} ? 1 : 0;
    }
    CHECK(few > 50 && few < 150);
    split.targets.clear();
    POINTERS_EQUAL(nullptr, route_index::draw(split, random));
}
