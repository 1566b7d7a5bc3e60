package peer

import "context"

// Sync asks the peer at an address what it knows of the view.
func (c *Client) Sync(ctx context.Context, address string, q SyncRequest) (SyncReply, error) {
	return Call(ctx, c, address, MethodSync, q)
}

// Push brings new deltas of the view to the peer at an address.
func (c *Client) Push(ctx context.Context, address string, q PushRequest) (PushReply, error) {
	return Call(ctx, c, address, MethodPush, q)
}

// NotifyGrants tells the peer at an address that grants are wanted.
func (c *Client) NotifyGrants(ctx context.Context, address string, q NotifyGrantsRequest) (NotifyGrantsReply, error) {
	return Call(ctx, c, address, MethodNotifyGrants, q)
}
