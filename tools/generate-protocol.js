// Generates the TypeScript code of the gRPC messages from the .proto files. Requires protoc; the output is committed.
import { execFileSync } from "node:child_process";

execFileSync("protoc", [
    "--plugin=node_modules/.bin/protoc-gen-ts_proto",
    "--ts_proto_out=packages/protocol/src/generated",
    "--ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,importSuffix=.js,env=node,useOptionals=messages,oneof=unions",
    "--proto_path=packages/protocol/proto",
    "log.proto",
    "raft.proto",
    "peer.proto",
], { stdio: "inherit" });
