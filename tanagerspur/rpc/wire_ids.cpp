#include "tanagerspur/rpc/wire_ids.hpp"

namespace tanagerspur
{

wire::shard to_wire(const shard_key& key)
{
    wire::shard message;
    message.set_service(key.service.value());
    message.set_layout(key.layout.value());
    message.set_number(key.number.value());
    return message;
}

shard_key from_wire(const wire::shard& message)
{
    return {.service = service_id{message.service()},
            .layout = layout_id{message.layout()},
            .number = shard_number{message.number()}};
}

} // namespace tanagerspur
