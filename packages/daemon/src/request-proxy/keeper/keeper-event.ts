import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { MemberChangeFault } from "@daisylock/core/raft/member-change-fault.js";
import type { Members } from "@daisylock/core/raft/members.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import type Result from "true-myth/result";

import type { KeeperEventKind } from "./keeper-event-kind.js";
import type { ProposeFailure } from "./propose-failure.js";

/** An event in the mailbox of the keeper's goroutine. */
export type KeeperEvent =
    | { readonly kind: KeeperEventKind.Tick | KeeperEventKind.Written | KeeperEventKind.ProposalsDue }
    | {
        readonly kind: KeeperEventKind.Messages;
        readonly messages: readonly RaftMessage[];
        readonly fromAddress: string;
    }
    | {
        readonly kind: KeeperEventKind.Command;
        readonly command: ControlCommand | (() => ControlCommand);
        readonly resolve: (result: Result<CommandResults[keyof CommandResults], ProposeFailure>) => void;
    }
    | {
        readonly kind: KeeperEventKind.ChangeMembers;
        readonly members: Members;
        readonly resolve: (result: Result<number, MemberChangeFault>) => void;
    }
    | {
        readonly kind: KeeperEventKind.Bootstrap;
        readonly address: string;
        readonly resolve: (isBootstrapped: boolean) => void;
    }
    | {
        readonly kind: KeeperEventKind.TransferLeadership;
        readonly resolve: (successor: string | undefined) => void;
    };
