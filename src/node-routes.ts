/**
 * The node's own paths: health and readiness for the platform, announcements
 * of the upstream, status and explanations for operators.
 */
import type {Announcement} from './protocol/announcement.js';
import {announcementSchema} from './protocol/announcement.js';
import {Reason, RefusalError} from './protocol/reasons.js';
import {formatFaults} from './protocol/settings.js';
import type {OwnAnswer, OwnRoute} from './transport/caller-listener.js';

/** What the paths ask of the node. */
export interface OwnRoutesOptions {
  readonly describeReadiness: () => OwnAnswer;
  readonly buildStatus: () => Record<string, unknown>;
  /** Undefined when the request is not known here. */
  readonly findExplanation: (requestId: string) => unknown;
  readonly announce: (announcement: Announcement) => void;
  /** IP number of this host, from which alone announcements are taken. */
  readonly hostAddress: string;
}

const LOOPBACK_PATTERN = /^127\./;
/** How Node.js shows an IPv4 peer of a socket that also serves IPv6. */
const MAPPED_PREFIX = '::ffff:';

/** Builds the node's own paths. */
export function buildOwnRoutes(options: OwnRoutesOptions): OwnRoute[] {
  return [
    {
      method: 'get',
      path: '/-/health',
      handle: () => ({status: 200, body: {status: 'ok'}}),
    },
    {
      method: 'get',
      path: '/-/ready',
      handle: () => options.describeReadiness(),
    },
    {
      method: 'get',
      path: '/-/status',
      handle: () => ({status: 200, body: options.buildStatus()}),
    },
    {
      method: 'get',
      path: '/-/explain/:requestId',
      handle: ({params}) => {
        const found = options.findExplanation(params['requestId'] ?? '');
        return found === undefined
          ? {status: 404, body: {error: 'request not known here'}}
          : {status: 200, body: found};
      },
    },
    {
      method: 'post',
      path: '/-/announce',
      handle: ({body, remoteAddress}) => {
        checkHost(remoteAddress, options.hostAddress);
        options.announce(parseAnnouncement(body));
        return {status: 200, body: {accepted: true}};
      },
    },
  ];
}

function parseAnnouncement(body: unknown): Announcement {
  const result = announcementSchema.safeParse(body);
  if (result.success) return result.data;
  const faults = formatFaults(result.error).join('; ');
  throw new RefusalError(Reason.MALFORMED_REQUEST, 'not-run', faults);
}

/** Another host's word of a worker here would send work to the wrong place. */
function checkHost(remoteAddress: string, hostAddress: string): void {
  const address = remoteAddress.replace(MAPPED_PREFIX, '');
  if (address === hostAddress || LOOPBACK_PATTERN.test(address)) return;
  const detail = 'announcements are taken from this host only';
  throw new RefusalError(Reason.MALFORMED_REQUEST, 'not-run', detail);
}
