#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Requests through the whole serving path, and the requests that are refused on it.
. "$(dirname "$0")/prepare.sh"
start_small_cluster

answer=$(chat 1 "first question")
expect "a complete answer" "$answer" '"finish_reason":"stop"'
streamed=$(chat_stream 2 "first question")
expect "a streamed answer ends with its marker" "$streamed" 'data: [DONE]'
expect "plain and streamed answers have the same text" "$(stream_text <<<"$streamed")" "$(text_of "$answer")"
models=$(curl -s -H "Authorization: Bearer $okonjo_key" "http://$(callers_of 3)/v1/models")
expect "the models of an organisation" "$models" filing-assistant
expect "a work order" "$(work_order 1 brick-1)" '"work_order":1'
record=$(curl -s -H "Authorization: Bearer $refractarios_key" "http://$(callers_of 2)/services/maintenance/parts/7?size=2")
expect "a request for a record" "$record" '"path":"/parts/7"'

# An organisation can neither use the deployment of another organisation nor find out that it exists.
other=$(curl -s -X POST -H "Authorization: Bearer $okonjo_key" -d '{}' "http://$(callers_of 1)/services/maintenance/orders")
expect "another organisation's service" "$other" '"kind":"unknown_model"'
refuse "nothing was booked" "$(curl -s "http://$(service_address 1)/booked")" '""'

# Each invalid input gets a clear error from the fixed list of kinds.
url=http://$(callers_of 1)/v1/chat/completions
key="Authorization: Bearer $okonjo_key"
expect "no key" "$(curl -s "$url" -d '{}')" '"kind":"unauthorised"'
expect "a wrong key" "$(curl -s "$url" -H 'Authorization: Bearer nobody' -d '{}')" '"kind":"unauthorised"'
expect "no JSON" "$(curl -s "$url" -H "$key" -d 'x')" '"kind":"malformed_request"'
expect "deep JSON" "$(head -c 100000 /dev/zero | tr '\0' '[' | curl -s "$url" -H "$key" --data-binary @-)" '"kind":"malformed_request"'
expect "no messages" "$(curl -s "$url" -H "$key" -d '{"model":"filing-assistant"}')" '"kind":"malformed_request"'
expect "an unknown model" "$(curl -s "$url" -H "$key" -d '{"model":"x","messages":[]}')" '"kind":"unknown_model"'
expect "a large body" "$(head -c 2000000 /dev/zero | tr '\0' ' ' | curl -s "$url" -H "$key" -H 'Expect:' --data-binary @-)" '"kind":"body_too_large"'
expect "a bad deadline" "$(chat 1 x -H 'X-Deadline-Ms: soon')" '"kind":"malformed_request"'
expect "a long key" "$(chat 1 x -H "Idempotency-Key: $(head -c 300 /dev/zero | tr '\0' k)")" '"kind":"malformed_request"'
expect "another method" "$(curl -s -X DELETE "$url" -H "$key")" '"kind":"method_not_allowed"'
expect "another path" "$(curl -s "http://$(callers_of 1)/v2" -H "$key")" '"kind":"unknown_path"'
expect "a slow sender" "$(curl -s -m 25 "$url" -H "$key" -H 'Content-Length: 100' -d 'x')" '"kind":"slow_sender"'
expect "operators without a token" "$(curl -s "http://$(operators_of 1)/v1/status")" '"kind":"unauthorised"'
expect "operators with a caller's key" "$(curl -s -H "$key" "http://$(operators_of 1)/v1/status")" '"kind":"unauthorised"'
expect "peers without a token" "$(curl -s -X POST -d '{}' "http://$(peers_of 1)/rpc")" '"kind":"unauthorised"'
peer="Authorization: Bearer $VETCHPOST_PEER_TOKEN"
expect "a malformed JSON-RPC call" "$(curl -s -X POST -H "$peer" -d '{"jsonrpc":' "http://$(peers_of 1)/rpc")" '"error"'
expect "an unknown method" "$(curl -s -X POST -H "$peer" -d '{"jsonrpc":"2.0","id":1,"method":"x","params":{}}' "http://$(peers_of 1)/rpc")" '"error"'
expect "an exchange with invalid parameters" "$(curl -s -X POST -H "$peer" -d '{"jsonrpc":"2.0","id":1,"method":"exchange","params":{"digest":[[7,[]],{"a":1}]}}' "http://$(peers_of 1)/rpc")" '"result"'
expect "a bad configuration" "$(curl -s -X PUT -H "Authorization: Bearer $VETCHPOST_OPERATOR_TOKEN" -H 'If-Match: "1"' -H 'X-Edit-Id: bad' -d 'deployments: {x: {template: none}}' "http://$(operators_of 1)/v1/configuration")" '"kind":"invalid_configuration"'
expect "each refusal is counted" "$(curl -s "http://$(operators_of 1)/metrics")" 'vetchpost_refusals_total{kind="body_too_large"} 1'
expect "the daemon still serves" "$(chat 1 "after all that")" '"finish_reason":"stop"'
