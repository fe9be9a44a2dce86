#include <parsleyshift/runtime/net.hpp> // parse_address, listen_on

#include <parsleyshift/core/field_text.hpp> // escaped, is_identifier

#include <boost/asio/ip/address.hpp> // make_address

#include <charconv> // from_chars
#include <string>   // string

namespace parsleyshift
{

result<asio::ip::tcp::endpoint> parse_address(std::string_view address, std::string_view field)
{
    const auto invalid_address = [&]
    {
        return make_error(error_kind::invalid_field,
                          std::string(field) + ": \"" + escaped(address.substr(0, 64)) + "\" is not \"ip:port\"");
    };
    const auto colon = address.rfind(':');
    // make_address() ends at a NUL and accepts any text as the zone of an IPv6 address.
    if (colon == std::string_view::npos || !is_identifier(address))
    {
        return invalid_address();
    }
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return invalid_address();
    }
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    if (ec)
    {
        return invalid_address();
    }
    return asio::ip::tcp::endpoint{ip, port};
}

result<void> listen_on(tcp_acceptor& acceptor, std::string_view address, std::string_view field)
{
    BOOST_OUTCOME_TRY(const asio::ip::tcp::endpoint endpoint, parse_address(address, field));
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
    {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        acceptor.bind(endpoint, ec);
    }
    if (!ec)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        const auto kind = ec == asio::error::address_in_use ? error_kind::address_in_use : error_kind::invalid_field;
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return make_error(kind,
                          std::string(field) + ": cannot listen on " + std::string(address) + ": " + ec.message());
    }
    return boost::outcome_v2::success();
}

} // namespace parsleyshift
