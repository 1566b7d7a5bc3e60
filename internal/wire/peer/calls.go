package peer

import "context"

// Sync requests what is newer in the view of the peer at an address.
func (c *Client) Sync(ctx context.Context, address string, q SyncRequest) (SyncReply, error) {
	return Call(ctx, c, address, MethodSync, q)
}

// Push sends new deltas of the view to the peer at an address.
func (c *Client) Push(ctx context.Context, address string, q PushRequest) (PushReply, error) {
	return Call(ctx, c, address, MethodPush, q)
}

// NotifyGrants notifies the peer at an address that grants are wanted or were freed.
func (c *Client) NotifyGrants(ctx context.Context, address string, q NotifyGrantsRequest) (NotifyGrantsReply, error) {
	return Call(ctx, c, address, MethodNotifyGrants, q)
}
