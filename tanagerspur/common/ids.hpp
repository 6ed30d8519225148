// Strong types for identifiers. Two ids of different kinds never compare or convert.
//
//   host_id self{"h1"};
//   generation next{current.value() + 1};

#ifndef TANAGERSPUR_COMMON_IDS_HPP
#define TANAGERSPUR_COMMON_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tanagerspur
{

namespace detail
{

// An id stored as Rep; Tag makes each kind of id a distinct type.
template<class Tag, class Rep> class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(Rep value)
        : m_value(std::move(value))
    {
    }

    const Rep& value() const { return m_value; }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Rep m_value{};
};

} // namespace detail

// One machine that runs tanagerspurd, as named by the platform.
using host_id = detail::strong_id<struct host_tag, std::string>;
// An availability zone.
using zone_id = detail::strong_id<struct zone_tag, std::string>;
// A service of the manifest, for example "order-desk".
using service_id = detail::strong_id<struct service_tag, std::string>;
// One way of partitioning a service's index into shards.
using layout_id = detail::strong_id<struct layout_tag, std::string>;
// Number of a shard within its layout, from 0.
using shard_number = detail::strong_id<struct shard_number_tag, std::uint32_t>;
// Version of a service's index; larger is newer. 0 means none.
using index_version = detail::strong_id<struct index_version_tag, std::uint64_t>;
// Generation of the manifest; 0 means none.
using generation = detail::strong_id<struct generation_tag, std::uint64_t>;
// Epoch of the assignment of shards to hosts; 0 means none.
using epoch = detail::strong_id<struct epoch_tag, std::uint64_t>;
// One run of a host's daemon; each restart gets a new one.
using incarnation = detail::strong_id<struct incarnation_tag, std::uint64_t>;
// Version of the routing configuration; larger is newer. 0 means none.
using configuration_version = detail::strong_id<struct configuration_version_tag, std::uint64_t>;
// A registered replica of a service.
using replica_id = detail::strong_id<struct replica_tag, std::string>;
// A caller's request.
using request_id = detail::strong_id<struct request_tag, std::string>;
// One sub-request, unique within the host that made it.
using sub_request_id = detail::strong_id<struct sub_request_tag, std::uint64_t>;
// One attempt at a sub-request on a replica, unique within the host that sends it.
using attempt_id = detail::strong_id<struct attempt_tag, std::uint64_t>;

// A shard of one layout of one service.
struct shard_key
{
    service_id service;
    layout_id layout;
    shard_number number;

    friend auto operator<=>(const shard_key&, const shard_key&) = default;
};

// Text form "service/layout/number".
std::string to_string(const shard_key& key);

// Inverse of to_string; returns false if the text does not have that form.
bool parse_shard_key(const std::string& text, shard_key& key);

} // namespace tanagerspur

template<class Tag, class Rep> struct std::hash<tanagerspur::detail::strong_id<Tag, Rep>>
{
    std::size_t operator()(const tanagerspur::detail::strong_id<Tag, Rep>& id) const
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
