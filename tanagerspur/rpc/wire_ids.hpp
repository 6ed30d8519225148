// Ids in the messages between hosts.

#ifndef TANAGERSPUR_RPC_WIRE_IDS_HPP
#define TANAGERSPUR_RPC_WIRE_IDS_HPP

#include "tanagerspur/common/ids.hpp"
#include "tanagerspur/rpc/generated/host_link.pb.h"

namespace tanagerspur
{

wire::shard to_wire(const shard_key& key);
shard_key from_wire(const wire::shard& message);

} // namespace tanagerspur

#endif
