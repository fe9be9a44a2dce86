#include <parsleyshift/quarantine/request_fingerprint.hpp> // request_fingerprint

#include <parsleyshift/core/hash.hpp> // mix_hash, stable_hash

#include <cstdint> // uint64_t

namespace parsleyshift
{

fingerprint request_fingerprint(const customer_id& customer, const service_id& service, std::string_view operation,
                                std::string_view content)
{
    std::uint64_t hash = stable_hash(customer.value());
    hash = mix_hash(hash, stable_hash(service.value()));
    hash = mix_hash(hash, stable_hash(operation));
    hash = mix_hash(hash, stable_hash(content));
    return fingerprint{hash};
}

} // namespace parsleyshift
