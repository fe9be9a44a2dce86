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

fingerprint prompt_part_fingerprint(std::string_view part)
{
    return fingerprint{mix_hash(stable_hash("part of a prompt"), stable_hash(part))};
}

} // namespace parsleyshift
