/**
 * The node's own HTTP paths: health and readiness for the platform,
 * announcements of the upstream, status and explanations for operators.
 */
import type {Announcement} from './protocol/announcement.js';
import {announcementSchema} from './protocol/announcement.js';
import {Reason, RefusalError} from './protocol/reasons.js';
import {formatFaults} from './protocol/settings.js';
import type {NodeAnswer, NodeRoute} from './transport/caller-listener.js';

/** Functions of the node that the paths call. */
export interface NodeRoutesOptions {
  readonly describeReadiness: () => NodeAnswer;
  readonly buildStatus: () => Record<string, unknown>;
  /** Returns undefined when this node has no explanation of the request. */
  readonly findExplanation: (requestId: string) => unknown;
  /** Explains where a request would go now. */
  readonly describeRoute: (query: URLSearchParams) => NodeAnswer;
  readonly announce: (announcement: Announcement) => void;
  /** IP address of this host; announcements from other hosts are refused. */
  readonly hostAddress: string;
}

const LOOPBACK_PATTERN = /^127\./;
/** Prefix of an IPv4 peer address on a dual-stack socket in Node.js. */
const IPV4_MAPPED_PREFIX = '::ffff:';

/** Builds the routes of the node's own paths. */
export function buildNodeRoutes(options: NodeRoutesOptions): NodeRoute[] {
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
      method: 'get',
      path: '/-/route',
      handle: ({query}) => options.describeRoute(query),
    },
    {
      method: 'post',
      path: '/-/announce',
      handle: ({body, remoteAddress}) => {
        checkLocalHost(remoteAddress, options.hostAddress);
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

/**
 * Refuses an announcement from another host, which would direct requests to the
 * wrong worker.
 *
 * @throws RefusalError
 */
function checkLocalHost(remoteAddress: string, hostAddress: string): void {
  const address = remoteAddress.replace(IPV4_MAPPED_PREFIX, '');
  if (address === hostAddress || LOOPBACK_PATTERN.test(address)) return;
  const detail = `announcements are accepted from this host only, not ${address}`;
  throw new RefusalError(Reason.MALFORMED_REQUEST, 'not-run', detail);
}
